package scheduler

import (
	"math"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// account holds what the queue knows about one workspace.
type account struct {
	workspace identifier.WorkspaceName
	weight    float64
	flows     []*flow // One per class that the workspace has used.
	waiting   int
	lowest    int       // Priority of the least urgent waiting statement.
	index     int       // Position in the backlog.
	retryAt   time.Time // Latest time at which a refused client was told to come back.
}

// excess returns the number of waiting statements for a weight of 1, with n more
// of them.
func (a *account) excess(n int) float64 {
	return float64(a.waiting+n) / a.weight
}

// shedCandidate returns the statement to shed: the latest of the least urgent
// priority. Some statement must be waiting.
func (a *account) shedCandidate() *Statement {
	for _, f := range a.flows {
		if f.class.priority == a.lowest {
			return f.latest()
		}
	}
	return nil
}

// updateLowest derives the least urgent priority from the waiting statements.
func (a *account) updateLowest() {
	a.lowest = math.MinInt
	for _, f := range a.flows {
		if f.length() > 0 {
			a.lowest = max(a.lowest, f.class.priority)
		}
	}
}

// isIdle reports whether the account can be forgotten.
func (a *account) isIdle(now time.Time) bool {
	if a.waiting > 0 || a.retryAt.After(now) {
		return false
	}
	for _, f := range a.flows {
		if !f.isIdle() {
			return false
		}
	}
	return true
}

// backlog is a heap of the accounts with waiting statements, the one furthest
// over its share first, and of equal ones the one with the least urgent statement.
// It implements heap.Interface.
type backlog []*account

func (h backlog) Len() int { return len(h) }

func (h backlog) Less(i, j int) bool {
	if a, b := h[i].excess(0), h[j].excess(0); a != b {
		return a > b
	}
	return h[i].lowest > h[j].lowest
}

func (h backlog) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *backlog) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *backlog) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
