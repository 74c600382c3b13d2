package fencer

import (
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
)

// SuccessorSample returns the end of the log of the server that is being made the
// primary as a sample, if a replacement has come that far. It is as recent as the
// proof that the replacement goes on.
func (f *Fencer) SuccessorSample(service identifier.ServiceName) (sampler.Sample, bool) {
	age, proven := f.Holder.Age()
	l := f.Record(service)
	if !proven || !l.IsReplacing() || l.Position.IsZero() {
		return sampler.Sample{}, false
	}
	return sampler.Sample{Position: l.Position, RequestedAt: time.Now().Add(-age)}, true
}
