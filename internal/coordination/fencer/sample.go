package fencer

import (
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
)

// HandedOverSample returns the end of the log that a primary has handed over as a
// sample, if a replacement has come that far. It is as recent as the proof that the
// replacement goes on.
func (f *Fencer) HandedOverSample(service identifier.ServiceName) (sampler.Sample, bool) {
	age, proven := f.Holder.Age()
	l := f.Record(service)
	if !proven || !l.IsReplacing() || l.HandedOver.IsZero() {
		return sampler.Sample{}, false
	}
	return sampler.Sample{Position: l.HandedOver, RequestedAt: time.Now().Add(-age)}, true
}
