package replacer

import (
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// replicaGroup describes which servers have the commits of a failed primary that
// were acknowledged. The zero value is a service without synchronous replication.
type replicaGroup struct {
	primary      identifier.BackendServerID   // Has every commit. Empty if it is not known.
	term         identifier.Term              // That the primary led; 0 if it is not known.
	replicas     []identifier.BackendServerID // Any of them may have received a commit.
	syncReplicas int                          // Number of them that received each commit before it was acknowledged.
}

// includesAcknowledgedCommits reports whether the candidate with the longest log
// has every acknowledged commit, also if it leaves. That is so if the failed
// primary is a candidate, or if enough replicas are that at least one of them
// received each commit before it was acknowledged.
func (g replicaGroup) includesAcknowledgedCommits(candidates []Candidate) bool {
	if g.syncReplicas == 0 {
		return true
	}
	answered := 0
	for _, c := range candidates {
		switch {
		case c.Server.ID != g.primary && slices.Contains(g.replicas, c.Server.ID):
			answered++
		case c.Server.ID == g.primary && c.Member.Term >= g.term && hasLongestLog(c, candidates): // It has kept its log.
			return true
		}
	}
	return answered > max(0, len(g.replicas)-g.syncReplicas)
}

// hasLongestLog reports whether the candidate has received something, and as much as any
// other. A primary that starts again under its id may know its term and lack its log.
func hasLongestLog(c Candidate, candidates []Candidate) bool {
	return c.Member.Received.Offset > 0 && !slices.ContainsFunc(candidates, func(o Candidate) bool {
		return o.Member.Received.Compare(c.Member.Received) > 0
	})
}

// replicaGroup returns the group whose primary is to be replaced.
func (r *Replacer) replicaGroup(p *replacement) replicaGroup {
	c := r.Catalog()
	servers := c.Servers[p.service]
	g := replicaGroup{
		primary: p.record.Server, term: p.record.Term,
		syncReplicas: c.Configuration.Services[p.service].SyncReplicas,
	}
	if g.primary == "" {
		g.primary = p.lastLeader
	}
	if g.primary == "" {
		g.primary = onlyClaimant(servers)
	}
	members := slices.Clone(p.remembered)
	for _, s := range servers {
		members = append(members, s.ID)
	}
	slices.Sort(members)
	g.replicas = slices.DeleteFunc(slices.Compact(members), func(id identifier.BackendServerID) bool { return id == g.primary })
	return g
}

// onlyClaimant returns the server that declares itself the primary, or "" if
// several do: the registration of a replaced primary may not have changed yet.
func onlyClaimant(servers []cataloger.BackendServer) identifier.BackendServerID {
	var only identifier.BackendServerID
	for _, s := range servers {
		switch {
		case !s.ClaimsPrimary:
		case only != "":
			return ""
		default:
			only = s.ID
		}
	}
	return only
}

const (
	// departureGrace is the time for which a server that is no longer registered
	// counts as a replica while the primary leads. By then a replica that follows
	// the primary has what the departed one had received.
	departureGrace = 5 * time.Second
	// memberMemory is the time without a check of the service after which its
	// remembered servers are too old to count. It is longer than a replacement.
	memberMemory = 30 * time.Second
)

// memberHistory remembers the servers of a service that may have received commits
// of its primary. A replica that fails together with the primary loses its
// registration within seconds, but may alone have the last acknowledged commits. The
// zero value remembers none.
type memberHistory struct {
	sightings map[identifier.BackendServerID]memberSighting
	observed  time.Time
}

// memberSighting is where a server was registered, and when it last was.
type memberSighting struct {
	address string
	at      time.Time
}

// observe records the registered servers. It forgets a server whose address another
// one has, which got its log, and while the primary leads, one that has not been
// registered for [departureGrace].
func (h *memberHistory) observe(servers []cataloger.BackendServer, leads bool, now time.Time) {
	if h.sightings == nil || now.Sub(h.observed) > memberMemory {
		h.sightings = map[identifier.BackendServerID]memberSighting{}
	}
	h.observed = now
	for _, s := range servers {
		h.sightings[s.ID] = memberSighting{s.Address, now}
	}
	for id, sighting := range h.sightings {
		hasDeparted := sighting.at != now
		isReplaced := slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.Address == sighting.address })
		if hasDeparted && (isReplaced || (leads && now.Sub(sighting.at) > departureGrace)) {
			delete(h.sightings, id)
		}
	}
}

// members returns the servers that are remembered, in no particular order.
func (h *memberHistory) members() []identifier.BackendServerID {
	return slices.Collect(maps.Keys(h.sightings))
}
