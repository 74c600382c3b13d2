package starter

import "time"

// minSuspension is the difference between the two clocks above which the host
// is taken to have been suspended. Both are read one after the other, so that a
// shorter one may be a pause of the process between the readings.
const minSuspension = 250 * time.Millisecond

// suspensionDetector finds out whether the host was suspended, by comparing a
// clock that keeps running meanwhile with one that stops. The zero value is ready
// to use.
type suspensionDetector struct {
	boot    time.Duration
	steady  time.Time
	started bool
}

// observe takes the readings of both clocks and returns for how long the host
// was suspended since the previous call, 0 if it was not.
func (d *suspensionDetector) observe(boot time.Duration, steady time.Time) time.Duration {
	suspended := (boot - d.boot) - steady.Sub(d.steady)
	first := !d.started
	d.boot, d.steady, d.started = boot, steady, true
	if first || suspended < minSuspension {
		return 0
	}
	return suspended
}

// logSuspension logs that the host was suspended.
func (s *Starter) logSuspension() {
	if d := s.suspensions.observe(s.holder.Clock(), time.Now()); d > 0 {
		s.Logger.Warn().Str("event", "machine_suspended").Dur("suspended_ms", d).Send()
	}
}
