//go:build race

package share

// fleetSizes are the numbers of routers in the load tests. The model runs in one goroutine, so the
// race detector finds no more in large fleets than in small ones, but these take it over five
// minutes. CI runs the tests without the detector, too, at all sizes.
var fleetSizes = []int{2, 27}

const largestFleet = 27
