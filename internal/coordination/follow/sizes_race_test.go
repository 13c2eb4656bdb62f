//go:build race

package follow

// turnedAwaySizes are the numbers of failure domains, and of routers in each, before a store that
// turns routers away. Hundreds of routers take the race detector minutes, and run the same code.
var turnedAwaySizes = [][2]int{{1, 6}, {3, 7}}

// largestDomains is the number of failure domains of the largest fleet in an outage.
const largestDomains = 3

// endedSizes are the same beside routers that have ended.
var endedSizes = [][2]int{{2, 4}, {3, 7}}
