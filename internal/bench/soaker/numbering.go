package soaker

import (
	"math/rand/v2"

	"oleanderpulley/platform/imitator"
)

// drawNumbering returns how the store of the run numbers its changes and eras: from 1 by
// one in a half of the seeds, and otherwise from anywhere, in a half of these by irregular
// steps. They are about a Unix time in milliseconds and the limits of 40 and 64 bits;
// earlier builds can hold numbers below 2^40 and eras below 2^24.
func (s Soak) drawNumbering() imitator.Numbering {
	r := rand.New(rand.NewPCG(s.Seed, 72))
	if r.IntN(2) == 0 {
		return imitator.Numbering{}
	}
	firsts := []imitator.Numbering{
		{Revision: 1 << 20, Era: 7}, {Revision: 1_796_000_000_000}, {Revision: 1<<40 - 100}, {Revision: 1 << 63, Era: 1_796_000_000},
	}
	n, maxStep := firsts[r.IntN(len(firsts))], uint64(1<<32)
	if s.OldProgram != "" {
		n, maxStep = firsts[0], 1<<16
	}
	if r.IntN(2) == 0 {
		n.Step = func() uint64 { return 1 + r.Uint64N(maxStep) }
	}
	return n
}
