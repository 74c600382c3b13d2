package replacer

import (
	"slices"
	"time"
)

const (
	// maxReplacements is the number of primaries of a service that an instance may
	// replace within replacementWindow because they do not answer. Each replacement
	// stops the writes of the service for seconds, so that a primary that is seldom
	// reached serves more than a series of new ones.
	maxReplacements   = 3
	replacementWindow = time.Minute
)

// replacementBudget bounds how often an instance replaces the primary of a service
// that does not answer. Planned replacements, and those of other instances, are not
// counted: an instance that has not seen a primary drain could not tell them apart.
type replacementBudget struct {
	replaced []time.Time
}

// record records a replacement.
func (b *replacementBudget) record(now time.Time) {
	b.replaced = append(b.replaced, now)
}

// isSpent reports whether the primary must not be replaced now.
func (b *replacementBudget) isSpent(now time.Time) bool {
	b.replaced = slices.DeleteFunc(b.replaced, func(at time.Time) bool { return now.Sub(at) > replacementWindow })
	return len(b.replaced) >= maxReplacements
}
