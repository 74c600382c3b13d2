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
			f.knownRevision = cataloger.Revision{}
		}
	}
	if f.lapseGraceEnd > 0 && now > f.lapseGraceEnd {
		f.lapseGraceEnd = 0
		f.restored = false
		f.knownRevision = cataloger.Revision{}
	}
}

// retainEvacuations returns the evacuations to use in place of those read. A store
// that came back from an older copy may lack an evacuation that is in force and
// have one that was removed, until the operators' changes are written again, so
// the known ones stay for that time. It also returns by how many entries the
// returned ones differ from those read.
func (f *Follower) retainEvacuations(read map[identifier.DataCentre]cataloger.Evacuation) (used map[identifier.DataCentre]cataloger.Evacuation, retained int) {
	old := f.Holder.Catalog()
	if !f.restored || old == nil {
		return read, 0
	}
	for d := range old.Evacuations {
		if _, ok := read[d]; !ok {
			retained++
		}
	}
	for d := range read {
		if _, ok := old.Evacuations[d]; !ok {
			retained++
		}
	}
	return old.Evacuations, retained
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

// stampServers sets the times of the servers in the next catalog that depend on
// when this instance learned of them.
func (f *Follower) stampServers(old, next *cataloger.Catalog) {
	f.stampEvacuations(next.Evacuations)
	stamped := make(map[identifier.ServiceName][]cataloger.BackendServer, len(next.Servers))
	for service, servers := range next.Servers {
		copied := slices.Clone(servers) // Readers share the lists of the current catalog.
		for i := range copied {
			previous, _ := old.Server(service, copied[i].ID)
			f.stampServer(&copied[i], previous)
		}
		stamped[service] = copied
	}
	next.Servers = stamped
}

// stampEvacuations sets the time since which each data centre is evacuated: the last
// proof of a catalog in which it was not. A server that registers later gets the same
// time.
func (f *Follower) stampEvacuations(evacuations map[identifier.DataCentre]cataloger.Evacuation) {
	since := make(map[identifier.DataCentre]time.Time, len(evacuations))
	for d := range evacuations {
		since[d] = f.provenAt
		if known, ok := f.evacuatedSince[d]; ok {
			since[d] = known
		}
	}
	f.evacuatedSince = since
}

// stampServer sets the times of one server. It drains since the last proof of a
// catalog in which it did not, because an outage of the store may have delayed the
// change.
func (f *Follower) stampServer(s *cataloger.BackendServer, previous cataloger.BackendServer) {
	s.DrainingSince, s.ColdUntil = time.Time{}, time.Time{}
	if s.Draining {
		s.DrainingSince = f.provenAt
		if previous.Draining {
			s.DrainingSince = previous.DrainingSince
		}
	}
	s.EvacuatedSince, s.Evacuated = f.evacuatedSince[s.DataCentre]
	switch {
	case s.ColdRemaining <= 0:
	case previous.Revision == s.Revision:
		s.ColdUntil = previous.ColdUntil
	default:
		s.ColdUntil = time.Now().Add(s.ColdRemaining)
	}
}
