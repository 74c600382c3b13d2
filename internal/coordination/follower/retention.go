package follower

import (
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// recordStoreAnswer records that the store has answered. After an outage it
// starts the grace for lapsed servers. When that grace or the retention of a
// removed instance ends, it resets the known revision, so that the lists are
// read again.
func (f *Follower) recordStoreAnswer(now time.Duration) {
	if f.lastSuccess > 0 && now-f.lastSuccess > outageThreshold {
		f.lapseGraceEnd = now + lapsedServerGrace
	}
	f.lastSuccess = now
	for _, since := range f.missingSince {
		if now-since >= f.Holder.MaxAge+defaultPeriod {
			f.knownRevision = 0
		}
	}
	if f.lapseGraceEnd > 0 && now > f.lapseGraceEnd {
		f.lapseGraceEnd = 0
		f.knownRevision = 0
	}
}

// retainLapsedServers adds servers that are missing from the lists to them while
// they may still register again after an outage of the store, and returns their
// number.
func (f *Follower) retainLapsedServers(read map[identifier.ServiceName][]cataloger.BackendServer) (retained int) {
	old := f.Holder.Catalog()
	if f.lapseGraceEnd == 0 || old == nil {
		return 0
	}
	for service, servers := range old.Servers {
		for _, s := range servers {
			if !slices.ContainsFunc(read[service], func(o cataloger.BackendServer) bool { return o.ID == s.ID }) {
				read[service] = append(read[service], s)
				retained++
			}
		}
	}
	return retained
}

// retainRemovedInstances adds removed instances to the list for as long as they
// may serve without having seen their removal, so that their shares of the rates
// are not assigned to other instances at the same time. It returns their number.
func (f *Follower) retainRemovedInstances(read map[identifier.InstanceID]cataloger.Instance, now time.Duration) int {
	old := f.Holder.Catalog()
	if old == nil {
		return 0
	}
	missingSince := map[identifier.InstanceID]time.Duration{}
	for id, m := range old.Instances {
		if _, ok := read[id]; ok {
			continue
		}
		since, seen := f.missingSince[id]
		if !seen {
			since = now
		}
		if now-since < f.Holder.MaxAge+defaultPeriod {
			missingSince[id] = since
			read[id] = m
		}
	}
	f.missingSince = missingSince
	return len(missingSince)
}

// setDrainingSince sets the earliest time from which each draining server of the
// next catalog may have been draining. That is the last proof of a catalog in
// which it was not, because an outage of the store may have delayed the change.
func (f *Follower) setDrainingSince(old, next *cataloger.Catalog) {
	stamped := make(map[identifier.ServiceName][]cataloger.BackendServer, len(next.Servers))
	for service, servers := range next.Servers {
		copied := slices.Clone(servers) // Readers share the lists of the current catalog.
		for i, s := range copied {
			if !s.Draining {
				continue
			}
			copied[i].DrainingSince = f.provenAt
			if previous, ok := old.Server(service, s.ID); ok && previous.Draining {
				copied[i].DrainingSince = previous.DrainingSince
			}
		}
		stamped[service] = copied
	}
	next.Servers = stamped
}
