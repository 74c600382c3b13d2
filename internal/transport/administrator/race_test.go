//go:build race

package administrator_test

// simulationProcs is the GOMAXPROCS of a simulation. It is 1 under the race
// detector: with Go 1.26 the detector's runtime occasionally crashes (SIGSEGV in
// StackDepot, or a failed check in tsan_rtl.cpp) when two processors run timers
// of the same synctest bubble. The detector finds races by happens-before edges,
// which a single processor preserves.
const simulationProcs = 1
