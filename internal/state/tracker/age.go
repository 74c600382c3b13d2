package tracker

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// maxSamples bounds the memory of a group. When it is reached, every second
// sample of the older half is dropped rather than the oldest samples, so that
// long replication delays remain measurable.
const maxSamples = 128

// sample is a log position reported by the primary.
type sample struct {
	position identifier.Position
	sent     time.Time       // Time before the query was sent.
	promised identifier.Term // Highest term that the primary had promised.
}

// Age returns an upper bound for the age of the data that the member has
// applied: the time since the query of the newest primary sample that it covers
// was sent. The age grows while the primary or a majority of the members is
// unreachable. Age returns false if the age has no bound, as when the host was
// suspended since.
func (g *Group) Age(server identifier.BackendServerID, now time.Time) (time.Duration, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m := g.members[server]
	if m == nil || !m.positionKnown {
		return 0, false
	}
	for i := len(g.samples) - 1; i >= 0; i-- {
		if start := g.ageStart(g.samples[i]); !start.IsZero() && m.status.covers(g.samples[i].position) == Covered {
			return now.Sub(start), g.lastWake == nil || start.After(g.lastWake())
		}
	}
	return 0, false
}

// Floor returns the position of the newest term's primary from the first sample
// whose query was sent after the given time. It skips samples of a primary that
// had promised a later term, and returns false if no sample qualifies.
func (g *Group) Floor(after time.Time) (identifier.Position, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, s := range g.samples {
		if s.position.Term == g.newestTerm && s.promised <= g.newestTerm && s.sent.After(after) {
			return s.position, true
		}
	}
	return identifier.Position{}, false
}

// FloorOfTerm returns the position of the primary of the given term from the
// first sample whose query was sent after the given time, even if a later term
// has opened since. The position is an upper bound for every write that this
// primary acknowledged before that time. FloorOfTerm returns false without such
// a sample.
func (g *Group) FloorOfTerm(term identifier.Term, after time.Time) (identifier.Position, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, s := range g.samples {
		if s.position.Term == term && s.sent.After(after) {
			return s.position, true
		}
	}
	return identifier.Position{}, false
}

// EstimateCatchUp estimates how long the member needs from now until it covers
// p. It returns false if the member's status or replication delay is unknown,
// or if no sample of the term of p has reached p.
func (g *Group) EstimateCatchUp(server identifier.BackendServerID, p identifier.Position, now time.Time) (time.Duration, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m := g.members[server]
	if m == nil || !m.positionKnown || m.delay == 0 {
		return 0, false
	}
	for _, s := range g.samples {
		if s.position.Term == p.Term && s.position.Offset >= p.Offset {
			return max(0, s.sent.Add(m.delay).Sub(now)), true
		}
	}
	return 0, false
}

// estimateDelay updates the member's replication delay with the time between the
// sending of the oldest sample after the newest covered one and the receipt of
// the member's status, as a moving average.
func (m *member) estimateDelay(g *Group) {
	for i := len(g.samples) - 1; i >= 0; i-- {
		if m.status.covers(g.samples[i].position) != Covered {
			continue
		}
		if i == len(g.samples)-1 {
			return // A member that covers every sample gives no measure of the delay.
		}
		measured := m.received.Sub(g.samples[i+1].sent)
		if m.delay == 0 {
			m.delay = measured
		}
		m.delay += (measured - m.delay) / 4
		return
	}
}

// confirmNewestTerm updates the latest time at which no term after the newest
// known one had been opened. A later term opens only after a majority has
// promised it. If a majority of the members answered that they had promised at
// most the newest term, no later term was open when the oldest of their queries
// was sent.
func (g *Group) confirmNewestTerm() {
	size := max(len(g.configured), len(g.members))
	sent := make([]time.Time, 0, size)
	for _, m := range g.members {
		if m.positionKnown && m.status.Promised <= g.newestTerm {
			sent = append(sent, m.sent)
		}
	}
	majority := size/2 + 1
	if len(sent) < majority {
		return
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	if sent[majority-1].After(g.confirmedAt) {
		g.confirmedAt = sent[majority-1]
	}
}

// ageStart returns the time from which the age of a sample's data is measured.
// For a sample of the newest term it is not after confirmedAt, because a later
// term may have accepted writes since then.
func (g *Group) ageStart(s sample) time.Time {
	if s.position.Term == g.newestTerm && g.confirmedAt.Before(s.sent) {
		return g.confirmedAt
	}
	return s.sent
}

func (g *Group) addSample(s sample) {
	if len(g.samples) >= maxSamples {
		kept := g.samples[:0]
		for i, previous := range g.samples {
			if i >= maxSamples/2 || i%2 == 0 {
				kept = append(kept, previous)
			}
		}
		g.samples = kept
	}
	g.samples = append(g.samples, s)
}
