package cataloger

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the latest catalog and its proof. The zero value holds neither.
// It is safe for concurrent use.
type Holder struct {
	// Now reads a clock that keeps running while the host is suspended. Nil
	// selects [BootTime].
	Now func() time.Duration
	// MaxAge is the maximum age of the proof at which keys are accepted.
	MaxAge time.Duration

	mu      sync.Mutex
	catalog atomic.Pointer[Catalog]
	proof   atomic.Int64 // Clock reading plus one, so that 0 means no proof.
	changed chan struct{}
}

// Catalog returns the latest catalog, or nil before the first.
func (h *Holder) Catalog() *Catalog {
	return h.catalog.Load()
}

// Replace sets the catalog and closes the channel that [Holder.Changed]
// returned.
func (h *Holder) Replace(c *Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalog.Store(c)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Changed returns a channel that is closed when the catalog is next replaced.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// SetProof records that the catalog contains every change acknowledged before
// the clock reading sentAt, at which the answered request was sent. An older
// proof does not replace a newer one.
func (h *Holder) SetProof(sentAt time.Duration) {
	for {
		old := h.proof.Load()
		if old >= int64(sentAt)+1 || h.proof.CompareAndSwap(old, int64(sentAt)+1) {
			return
		}
	}
}

// Age returns the age of the proof, and false if there is no proof or no
// catalog.
func (h *Holder) Age() (time.Duration, bool) {
	proof := h.proof.Load()
	if proof == 0 || h.catalog.Load() == nil {
		return 0, false
	}
	return h.Clock() - time.Duration(proof-1), true
}

// Fresh reports whether the proof is recent enough to accept keys by the
// catalog.
func (h *Holder) Fresh() bool {
	age, ok := h.Age()
	return ok && age <= h.MaxAge
}

// Time returns the time that corresponds to a clock reading. If the host was
// suspended since then, it is earlier than the one that package time had.
func (h *Holder) Time(reading time.Duration) time.Time {
	return time.Now().Add(reading - h.Clock())
}

// Clock returns the current reading of the clock that proofs use.
func (h *Holder) Clock() time.Duration {
	if h.Now != nil {
		return h.Now()
	}
	return BootTime()
}
