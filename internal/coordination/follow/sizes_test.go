//go:build !race

package follow

// turnedAwaySizes are the numbers of failure domains, and of routers in each, before a store that
// turns routers away.
var turnedAwaySizes = [][2]int{{1, 6}, {3, 7}, {20, 20}}

// largestDomains is the number of failure domains of the largest of these.
const largestDomains = 20

// endedSizes are the same beside routers that have ended.
var endedSizes = [][2]int{{1, 6}, {2, 4}, {3, 7}, {3, 14}, {20, 20}}
