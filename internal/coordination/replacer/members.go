package replacer

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// departureGrace is the time without a registration after which a server counts as
	// gone if it does not answer either. It is longer than the 2 s in which servers
	// register again once the store is back.
	departureGrace = 5 * time.Second
	// memberMemory is the time without a check of the service after which what this
	// instance knows of its servers is too old; the store is read again then.
	memberMemory = 30 * time.Second
	// groupUpdatePause is the time between two attempts to bring the group in the store
	// up to date.
	groupUpdatePause = 2 * time.Second
)

// memberHistory knows the servers of a service with synchronous replication that may
// have received commits of its primary: those of the group in the store, and those that
// were registered since it was read. The zero value knows none. It is safe for
// concurrent use.
type memberHistory struct {
	mu        sync.Mutex
	stored    cataloger.DatabaseGroup // As last read or written by this instance.
	isRead    bool                    // Also if the store had no group.
	sightings map[identifier.BackendServerID]memberSighting
	observed  time.Time
	dueSince  time.Time // When the group in the store was first seen to need an update; zero while it does not.
	triedAt   time.Time // When this instance last tried to update it.
	isTrying  bool
}

// memberSighting is where a server was registered, and when this instance last saw the
// registration or learned of the server from the store.
type memberSighting struct {
	address    string
	dataCentre identifier.DataCentre
	at         time.Time
}

// observe records the registered servers. A server whose address another one has is
// forgotten, since that one got its log.
func (h *memberHistory) observe(servers []cataloger.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sightings == nil || now.Sub(h.observed) > memberMemory {
		h.sightings = map[identifier.BackendServerID]memberSighting{}
		h.stored, h.isRead, h.dueSince = cataloger.DatabaseGroup{}, false, time.Time{}
	}
	h.observed = now
	for _, s := range servers {
		h.sightings[s.ID] = memberSighting{s.Address, s.DataCentre, now}
	}
	h.forgetSuperseded()
}

// forgetSuperseded forgets the servers that are not registered and whose address a
// registered one has.
func (h *memberHistory) forgetSuperseded() {
	taken := map[string]bool{}
	for _, s := range h.sightings {
		if s.at.Equal(h.observed) {
			taken[s.address] = true
		}
	}
	maps.DeleteFunc(h.sightings, func(_ identifier.BackendServerID, s memberSighting) bool {
		return !s.at.Equal(h.observed) && taken[s.address]
	})
}

// adopt takes over the group as the store has it. A server that the store had before and
// has not any more was removed by another instance, unless the store came back from
// an older copy.
func (h *memberHistory) adopt(g cataloger.DatabaseGroup, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isRead && g.Revision.Era == h.stored.Revision.Era {
		maps.DeleteFunc(h.sightings, func(id identifier.BackendServerID, s memberSighting) bool {
			return !s.at.Equal(h.observed) && h.stored.Includes(id) && !g.Includes(id)
		})
	}
	if h.sightings == nil {
		h.sightings = map[identifier.BackendServerID]memberSighting{}
	}
	for _, m := range g.Members {
		if _, known := h.sightings[m.ID]; !known {
			h.sightings[m.ID] = memberSighting{m.Address, m.DataCentre, now}
		}
	}
	h.forgetSuperseded()
	h.stored, h.isRead = g, true
}

// members returns the servers that are known, in no particular order.
func (h *memberHistory) members() []identifier.BackendServerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.sightings))
}

// departed returns the servers that have not been registered for [departureGrace].
func (h *memberHistory) departed() []cataloger.GroupMember {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sortedMembers(h.sightings, func(s memberSighting) bool { return h.observed.Sub(s.at) >= departureGrace })
}

// group returns the group to store: the known servers without those that are gone, and
// the primary if it is known by nothing else.
func (h *memberHistory) group(gone []cataloger.GroupMember, primary identifier.BackendServerID) cataloger.DatabaseGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := sortedMembers(h.sightings, func(memberSighting) bool { return true })
	g := cataloger.DatabaseGroup{Primary: primary, Revision: h.stored.Revision}
	for _, m := range all {
		if !slices.ContainsFunc(gone, func(o cataloger.GroupMember) bool { return o.ID == m.ID }) {
			g.Members = append(g.Members, m)
		}
	}
	if g.Primary == "" {
		g.Primary = h.stored.Primary
	}
	return g
}

// beginUpdate reports whether the group in the store needs an update that this instance
// makes now: delay after it was first seen to need one, so that the first instance in
// rank order makes it for all. endUpdate must be called then. era is that of the store.
func (h *memberHistory) beginUpdate(u groupUpdate, era uint64, delay time.Duration, now time.Time) bool {
	wanted := h.group(nil, u.firstPrimary)
	departed := h.departed()
	h.mu.Lock()
	defer h.mu.Unlock()
	isCurrent := h.isRead && h.stored.Revision.Era == era && h.stored.Equal(wanted)
	mayCreate := !h.stored.Revision.IsZero() || !h.isRead || u.leads
	if !mayCreate || (isCurrent && (len(departed) == 0 || !u.leads)) {
		h.dueSince = time.Time{}
		return false
	}
	if h.dueSince.IsZero() {
		h.dueSince = now
	}
	if h.isTrying || now.Sub(h.dueSince) < delay || now.Sub(h.triedAt) < groupUpdatePause {
		return false
	}
	h.isTrying, h.triedAt = true, now
	return true
}

func (h *memberHistory) endUpdate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isTrying = false
}

// sortedMembers returns the servers whose sighting passes the filter, by id.
func sortedMembers(sightings map[identifier.BackendServerID]memberSighting, filter func(memberSighting) bool) []cataloger.GroupMember {
	var members []cataloger.GroupMember
	for id, s := range sightings {
		if filter(s) {
			members = append(members, cataloger.GroupMember{ID: id, Address: s.address, DataCentre: s.dataCentre})
		}
	}
	slices.SortFunc(members, func(a, b cataloger.GroupMember) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}
