package follower

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// noteOutage begins the time in which missing servers are kept if the store was
// away until now, and has the lists read again at its end.
func (f *Follower) noteOutage(now time.Duration) {
	if f.succeeded > 0 && now-f.succeeded > outage {
		f.lapseEnd = now + lapse
	}
	f.succeeded = now
	for _, since := range f.removed {
		if now-since >= f.Holder.MaxAge+defaultPeriod {
			f.known = 0
		}
	}
	if f.lapseEnd > 0 && now > f.lapseEnd {
		f.lapseEnd = 0
		f.known = 0
	}
}

// keepLapsed adds the servers that are missing from the list to it while they
// may come back.
func (f *Follower) keepLapsed(read map[identifier.ServiceName][]cataloger.BackendServer) {
	old := f.Holder.Catalog()
	if f.lapseEnd == 0 || old == nil {
		return
	}
	for service, servers := range old.Servers {
		for _, s := range servers {
			if !slices.ContainsFunc(read[service], func(o cataloger.BackendServer) bool { return o.ID == s.ID }) {
				read[service] = append(read[service], s)
			}
		}
	}
}

// keepRemoved keeps instances that were removed for as long as they may go on
// serving without having seen it, so that their parts of rates are not given
// to others at the same time.
func (f *Follower) keepRemoved(read map[identifier.InstanceID]cataloger.Member, now time.Duration) {
	old := f.Holder.Catalog()
	if old == nil {
		return
	}
	removed := map[identifier.InstanceID]time.Duration{}
	for id, m := range old.Members {
		if _, ok := read[id]; ok {
			continue
		}
		since, known := f.removed[id]
		if !known {
			since = now
		}
		if now-since < f.Holder.MaxAge+defaultPeriod {
			removed[id] = since
			read[id] = m
		}
	}
	f.removed = removed
}

// stampDraining sets since when the servers of the next catalog that drain may
// have been draining. The news may be late: the store was away meanwhile.
func (f *Follower) stampDraining(old, next *cataloger.Catalog) {
	all := make(map[identifier.ServiceName][]cataloger.BackendServer, len(next.Servers))
	for service, servers := range next.Servers {
		stamped := slices.Clone(servers) // Readers share the present lists.
		for i, s := range stamped {
			if !s.Draining {
				continue
			}
			stamped[i].DrainingSince = f.proven
			if before, ok := old.Server(service, s.ID); ok && before.Draining {
				stamped[i].DrainingSince = before.DrainingSince
			}
		}
		all[service] = stamped
	}
	next.Servers = all
}
