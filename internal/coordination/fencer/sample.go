package fencer

import (
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/sampler"
)

// handedOverSample returns the end of the log that the record has as a position
// sample, if it has one. The caller observes the record for the first time.
//
// The sample is as old as the proof of the catalog without the record: the old
// primary stepped down before the record was written, and no new one was used before
// that. A proof of the record itself shows less, as its holder may have told others
// the end of the replacement that the store does not have yet. For the same reason a
// record from before the store came back from an older copy gives no sample.
func (f *Fencer) handedOverSample(l cataloger.Leadership) (sampler.Sample, bool) {
	age, proven := f.Holder.Age()
	isCurrent := !l.Carried && cataloger.Era(l.Revision) >= f.era.Load()
	if !proven || !isCurrent || !l.IsReplacing() || l.HandedOver.IsZero() {
		return sampler.Sample{}, false
	}
	return sampler.Sample{Position: l.HandedOver, RequestedAt: f.Holder.Clock() - age, HandedOver: true}, true
}
