package replacer

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// maxReplacements is the number of times that a service may get another primary
	// within replacementWindow, besides planned replacements, which end. Each one
	// stops its writes for seconds, so that a primary that is seldom reached serves
	// more than a series of new ones.
	maxReplacements   = 3
	replacementWindow = time.Minute
)

// replacementBudget bounds how often the primary of a service is replaced because
// it does not answer. It counts the changes that this process has observed, of
// whichever instance.
type replacementBudget struct {
	term    identifier.Term // Newest observed one; 0 before the first.
	leaving bool            // The primary of that term was seen to drain or to be evacuated.
	changes []time.Time     // Within the window, without planned ones.
}

// observe records the term of the present primary, and whether that is leaving.
func (b *replacementBudget) observe(term identifier.Term, leaving bool, now time.Time) {
	if b.term != 0 && term > b.term && !b.leaving {
		b.changes = append(b.changes, now)
	}
	if term > b.term {
		b.term, b.leaving = term, false
	}
	b.leaving = b.leaving || leaving
	b.changes = slices.DeleteFunc(b.changes, func(at time.Time) bool { return now.Sub(at) > replacementWindow })
}

// isSpent reports whether the primary must not be replaced now.
func (b *replacementBudget) isSpent() bool {
	return len(b.changes) >= maxReplacements
}
