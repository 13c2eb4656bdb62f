//go:build !race

package quarantine

// modelSizes are the numbers of routers of the models of traits.
var modelSizes = []int{3, 30, 400}

// exitSeeds and crashSeeds are the numbers of seeds of the models of a small site.
const exitSeeds, crashSeeds = uint64(12), uint64(4)
