//go:build race

package distributor

// simulationProcs is 1 under the race detector. With Go 1.26 the runtime of the
// detector sometimes ends the process (SIGSEGV in StackDepot, or a failed check
// in tsan_rtl.cpp) when two processors run timers of the same synctest bubble.
// The detector follows happens-before edges, which one processor preserves.
const simulationProcs = 1
