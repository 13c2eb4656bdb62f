//go:build !race

package share

// fleetSizes are the numbers of routers in the load tests.
var fleetSizes = []int{2, 27, 100, 400}

const largestFleet = 400
