//go:build !race

package distributor

// simulationProcs 0 leaves GOMAXPROCS unchanged.
const simulationProcs = 0
