package sampler

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// maxSampleAge is the age after which no route needs a sample.
const maxSampleAge = 10 * time.Second

// minSampleSpacing is the minimum time between two kept samples of the same
// position. Floors are derived from the oldest sufficient sample, so a finer
// spacing would gain less than the lag of a replica.
const minSampleSpacing = 20 * time.Millisecond

// Sample is a position that a primary reported in answer to a request that was
// sent at RequestedAt. It covers every commit that was acknowledged before then.
type Sample struct {
	Position identifier.Position
	// RequestedAt is the reading of a clock that keeps running while the host is
	// suspended. By a clock that stops, a sample from before a suspension would count
	// as recent after it.
	RequestedAt time.Duration
}

// Sampler keeps the samples of one service. The zero value is ready to use. It
// is safe for concurrent use.
type Sampler struct {
	mu      sync.Mutex
	samples []Sample // Ascending by RequestedAt, all of the newest term.
}

// Add records a sample. It ignores samples without a position, those of an older
// term or of an earlier request than the latest sample, and those that repeat
// its position within minSampleSpacing. A sample of a newer term discards those
// of older terms.
func (s *Sampler) Add(sample Sample) {
	if sample.Position.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) > 0 {
		last := s.samples[len(s.samples)-1]
		switch {
		case sample.Position.Term < last.Position.Term:
			return
		case sample.Position.Term > last.Position.Term:
			s.samples = s.samples[:0]
		case sample.RequestedAt < last.RequestedAt:
			return
		case sample.RequestedAt-last.RequestedAt < minSampleSpacing && sample.Position == last.Position:
			return
		}
	}
	s.dropBefore(sample.RequestedAt - maxSampleAge)
	s.samples = append(s.samples, sample)
}

// Clear removes all samples. It is called when another server has become the
// primary, because the promotion may have discarded the positions of the samples.
func (s *Sampler) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = s.samples[:0]
}

// dropBefore removes the samples whose requests were sent before the time.
func (s *Sampler) dropBefore(before time.Duration) {
	i := 0
	for i < len(s.samples) && s.samples[i].RequestedAt < before {
		i++
	}
	if i > 0 {
		s.samples = append(s.samples[:0], s.samples[i:]...)
	}
}

// Floor returns the oldest sample that covers every commit acknowledged before
// the time, or false if no sample is recent enough.
func (s *Sampler) Floor(before time.Duration) (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range s.samples {
		if sample.RequestedAt >= before {
			return sample, true
		}
	}
	return Sample{}, false
}

// Missing returns the time of the oldest sample whose position a log that ends
// at p does not contain, or false if it contains all of them. The time since
// then is a lower bound of the lag of that log.
func (s *Sampler) Missing(p identifier.Position) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range s.samples {
		if sample.Position.Compare(p) > 0 {
			return sample.RequestedAt, true
		}
	}
	return 0, false
}

// Latest returns the newest sample, or false if there is none.
func (s *Sampler) Latest() (Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return Sample{}, false
	}
	return s.samples[len(s.samples)-1], true
}
