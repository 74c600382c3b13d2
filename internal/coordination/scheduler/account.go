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

// isBefore orders the accounts of the backlog: the one furthest over its share first,
// and of equal ones the one with the least urgent statement.
func (a *account) isBefore(other *account) bool {
	if mine, others := a.excess(0), other.excess(0); mine != others {
		return mine > others
	}
	return a.lowest > other.lowest
}

func (a *account) setIndex(i int) { a.index = i }
