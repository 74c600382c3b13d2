package replacer

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// removalHistory remembers the instances whose registrations were removed. An
// instance that is unreachable for its peers but still reaches the store may be
// removed while it holds permits, which end only with the proof of the last catalog
// that had it. The zero value remembers none.
type removalHistory struct {
	last    *cataloger.Catalog
	since   time.Duration                           // Clock reading at which the first catalog was observed.
	removed map[identifier.InstanceID]time.Duration // Clock reading at which it was first missing.
}

// observe compares the catalog with the one that was observed last.
func (h *removalHistory) observe(c *cataloger.Catalog, now time.Duration) {
	if c == h.last || c == nil {
		return
	}
	if h.last == nil {
		h.since = now
	} else {
		h.addMissing(h.last.Instances, c.Instances, now)
	}
	h.last = c
}

func (h *removalHistory) addMissing(before, after map[identifier.InstanceID]cataloger.Instance, now time.Duration) {
	for id := range before {
		if _, registered := after[id]; registered {
			continue
		}
		if h.removed == nil {
			h.removed = map[identifier.InstanceID]time.Duration{}
		}
		h.removed[id] = now
	}
	for id := range h.removed {
		if _, registered := after[id]; registered {
			delete(h.removed, id)
		}
	}
}

// covers reports whether every removal of the last period is known: an instance that has
// started since then knows of none that was before its first catalog.
func (h *removalHistory) covers(period, now time.Duration) bool {
	return h.last != nil && now-h.since >= period
}

// recent returns the instances that have been missing for less than the limit, and
// forgets the others.
func (h *removalHistory) recent(limit, now time.Duration) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for id, at := range h.removed {
		if now-at >= limit {
			delete(h.removed, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// observeInstances records which instances are registered by the newest catalog.
func (r *Replacer) observeInstances() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removals.observe(r.Catalog(), r.Clock())
}

// recentlyRemoved returns the instances that may still hold a permit although they
// are not registered any more. It reports false if there may be others.
func (r *Replacer) recentlyRemoved() (ids []identifier.InstanceID, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	period, now := r.Validity+expiryMargin, r.Clock()
	return r.removals.recent(period, now), r.removals.covers(period, now)
}
