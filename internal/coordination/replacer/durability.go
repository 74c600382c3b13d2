package replacer

import (
	"slices"

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
		case c.Server.ID == g.primary && c.Member.Term >= g.term: // It has kept its log.
			return true
		}
	}
	return answered > len(g.replicas)-g.syncReplicas
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
	for _, s := range servers {
		if s.ID != g.primary {
			g.replicas = append(g.replicas, s.ID)
		}
	}
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
