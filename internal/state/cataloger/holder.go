package cataloger

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the latest catalog and its proof. The zero value holds none. It
// is safe for concurrent use.
type Holder struct {
	// Now is a clock that counts suspension; see [BootTime]. Nil selects it.
	Now func() time.Duration
	// MaxAge is the age of the proof up to which keys are honoured.
	MaxAge time.Duration

	mu      sync.Mutex
	catalog atomic.Pointer[Catalog]
	proof   atomic.Int64 // Clock reading plus one, so that 0 stands for none.
	changed chan struct{}
}

// Catalog returns the latest catalog, nil before the first.
func (h *Holder) Catalog() *Catalog {
	return h.catalog.Load()
}

// Replace sets the catalog and wakes those who wait for a change.
func (h *Holder) Replace(c *Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalog.Store(c)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Prove records that the catalog holds every change acknowledged before asked,
// a reading of the clock. An older proof does not replace a newer one.
func (h *Holder) Prove(asked time.Duration) {
	for {
		old := h.proof.Load()
		if old >= int64(asked)+1 || h.proof.CompareAndSwap(old, int64(asked)+1) {
			return
		}
	}
}

// Age returns the age of the proof and whether there is one.
func (h *Holder) Age() (time.Duration, bool) {
	proof := h.proof.Load()
	if proof == 0 || h.catalog.Load() == nil {
		return 0, false
	}
	return h.Clock() - time.Duration(proof-1), true
}

// Fresh reports whether the proof is young enough to honour keys by it.
func (h *Holder) Fresh() bool {
	age, ok := h.Age()
	return ok && age <= h.MaxAge
}

// Clock returns the reading of the clock that proofs are counted on.
func (h *Holder) Clock() time.Duration {
	if h.Now != nil {
		return h.Now()
	}
	return BootTime()
}
