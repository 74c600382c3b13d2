package tracker

import (
	"sync/atomic"
	"time"

	"oleanderpulley/internal/state/cataloger"
)

// wakeTolerance is the difference between two readings of the suspended time that shows
// no suspension: it is computed from two clocks that are read one after the other.
const wakeTolerance = 5 * time.Millisecond

// WakeDetector tells when the host was last found to have been suspended. The clock of
// package time stops meanwhile, so that ages which were measured across a suspension are
// too low. The zero value is ready to use. It is safe for concurrent use.
type WakeDetector struct {
	// Suspended returns for how long the host has been suspended in all. Nil
	// selects [cataloger.SuspendedTime].
	Suspended func() time.Duration

	known atomic.Pointer[time.Duration]
	wake  atomic.Pointer[time.Time]
}

// LastWake returns a time after the end of the last suspension since the first call, by
// the clock of package time. It is zero if there was none.
func (d *WakeDetector) LastWake() time.Time {
	suspended := d.suspended()
	known := d.known.Load()
	switch {
	case known == nil:
		d.known.CompareAndSwap(nil, &suspended)
	case suspended-*known > wakeTolerance:
		now := time.Now()
		d.wake.Store(&now) // Before known, so that no other call misses it.
		d.known.CompareAndSwap(known, &suspended)
	}
	if wake := d.wake.Load(); wake != nil {
		return *wake
	}
	return time.Time{}
}

func (d *WakeDetector) suspended() time.Duration {
	if d.Suspended != nil {
		return d.Suspended()
	}
	return cataloger.SuspendedTime()
}
