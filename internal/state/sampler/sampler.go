package sampler

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// keep is the age after which samples are of no use to any route.
const keep = 10 * time.Second

// spacing is the least time between two samples that are kept. Floors are
// derived from the oldest sample that suffices, so a finer spacing gains less
// than the lag of a replica.
const spacing = 20 * time.Millisecond

// Sample is a position that a primary showed to a question sent at Asked.
type Sample struct {
	Position identifier.Position
	Asked    time.Time
}

// Sampler keeps the samples of one service. The zero value holds none. It is
// safe for concurrent use.
type Sampler struct {
	mu      sync.Mutex
	samples []Sample // Ascending by Asked, all of the newest term.
}

// Add records a sample.
func (s *Sampler) Add(n Sample) {
	if n.Position.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) > 0 {
		last := s.samples[len(s.samples)-1]
		switch {
		case n.Position.Term < last.Position.Term:
			return
		case n.Position.Term > last.Position.Term:
			s.samples = s.samples[:0]
		case n.Asked.Before(last.Asked):
			return
		case n.Asked.Sub(last.Asked) < spacing && n.Position == last.Position:
			return
		}
	}
	s.drop(n.Asked.Add(-keep))
	s.samples = append(s.samples, n)
}

func (s *Sampler) drop(before time.Time) {
	i := 0
	for i < len(s.samples) && s.samples[i].Asked.Before(before) {
		i++
	}
	if i > 0 {
		s.samples = append(s.samples[:0], s.samples[i:]...)
	}
}

// Floor returns the oldest sample that covers every commit acknowledged before
// the time, and false if no sample is young enough.
func (s *Sampler) Floor(since time.Time) (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.samples {
		if !n.Asked.Before(since) {
			return n, true
		}
	}
	return Sample{}, false
}

// Missing returns the time of the oldest sample that a log at the position
// lacks, and false if it lacks none. The time since then is the least lag that
// explains the position.
func (s *Sampler) Missing(p identifier.Position) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.samples {
		if n.Position.Term > p.Term || (n.Position.Term == p.Term && n.Position.Offset > p.Offset) {
			return n.Asked, true
		}
	}
	return time.Time{}, false
}

// Latest returns the newest sample.
func (s *Sampler) Latest() (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return Sample{}, false
	}
	return s.samples[len(s.samples)-1], true
}
