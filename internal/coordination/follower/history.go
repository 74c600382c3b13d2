package follower

import (
	"sync"

	"oleanderpulley/internal/state/cataloger"
)

// historyLength is the number of catalogs to which a relay knows the difference.
// Instances that ask it are behind by one or two periods, in which the store
// changes a few times.
const historyLength = 8

// history holds the newest catalogs of this instance with their digests, and the
// updates to one of them. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	entries []historyEntry // Oldest first.

	target  *cataloger.Catalog // To which the updates lead.
	updates map[updateBase]*cataloger.Update
}

// updateBase identifies what the receivers of an update know.
type updateBase struct {
	digest           uint64 // Of their catalog, or 0 if it is not among the entries.
	hasConfiguration bool   // That of the target.
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

// updateTo returns the update to the catalog for an instance that knows a revision
// and the catalog with the digest. Instances that know the same get the same update,
// so that it is computed and encoded once.
func (h *history) updateTo(c *cataloger.Catalog, known cataloger.Revision, digest uint64) *cataloger.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target != c {
		h.target, h.updates = c, map[updateBase]*cataloger.Update{}
	}
	base := h.find(digest)
	whole := c
	if !known.IsZero() {
		whole = c.Since(known)
	}
	key := updateBase{digest: digest}
	if base == nil {
		key = updateBase{hasConfiguration: whole.Configuration == nil}
	}
	u, ok := h.updates[key]
	switch {
	case ok:
	case base != nil:
		u = &cataloger.Update{Change: base.ChangeTo(c, digest)}
	default:
		u = &cataloger.Update{Catalog: whole}
	}
	h.updates[key] = u
	return u
}

// find returns the newest catalog with the digest, or nil. The caller holds mu.
func (h *history) find(digest uint64) *cataloger.Catalog {
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
