package follower

import (
	"sync"

	"oleanderpulley/internal/state/cataloger"
)

// historyLength is the number of catalogs to which a relay knows the difference.
// Instances that ask it are behind by one or two periods, in which the store
// changes a few times.
const historyLength = 8

// history holds the newest catalogs of this instance with their digests. It is
// safe for concurrent use.
type history struct {
	mu      sync.Mutex
	entries []historyEntry // Oldest first.
}

type historyEntry struct {
	catalog *cataloger.Catalog
	digest  uint64
}

// add adds a complete catalog.
func (h *history) add(c *cataloger.Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, historyEntry{c, c.Digest()})
	if len(h.entries) > historyLength {
		h.entries = append([]historyEntry(nil), h.entries[1:]...)
	}
}

// find returns the newest catalog with the digest, or nil.
func (h *history) find(digest uint64) *cataloger.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.entries) - 1; i >= 0; i-- {
		if h.entries[i].digest == digest {
			return h.entries[i].catalog
		}
	}
	return nil
}

// digest returns the digest of the catalog if it is the newest one, and otherwise
// 0, which is that of no catalog with entries.
func (h *history) digest(c *cataloger.Catalog) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.entries); n > 0 && h.entries[n-1].catalog == c {
		return h.entries[n-1].digest
	}
	return 0
}
