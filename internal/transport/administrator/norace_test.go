//go:build !race

package administrator_test

// simulationProcs is the GOMAXPROCS of a simulation; 0 leaves it unchanged.
const simulationProcs = 0
