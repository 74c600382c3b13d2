package replacer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

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

// replicaGroup returns the group whose failed primary is to be replaced. Its servers are
// those of the group in the store, which this instance may have begun to follow after
// their registrations had lapsed, and those that it knows besides.
func (r *Replacer) replicaGroup(ctx context.Context, p *replacement) (replicaGroup, error) {
	c := r.Catalog()
	servers := c.Servers[p.service]
	g := replicaGroup{
		primary: p.record.Server, term: p.record.Term,
		syncReplicas: c.Configuration.Services[p.service].SyncReplicas,
	}
	if g.syncReplicas == 0 || p.draining != nil {
		return replicaGroup{}, nil
	}
	p.members.observe(servers, time.Now()) // The check of a replacement that is continued does not.
	if err := r.readGroup(ctx, p.service, p.members); err != nil {
		return g, errors.Wrap(errCommitsUnknown, err.Error())
	}
	stored := p.members.storedGroup()
	g.primary = cmp.Or(g.primary, p.lastLeader, stored.Primary, onlyClaimant(servers))
	if stored.Revision.IsZero() && g.primary == "" && p.silentFor < unknownGroupLimit {
		return g, errors.Wrap(errCommitsUnknown, errGroupNotRecorded.Error())
	}
	members := p.members.members()
	for _, s := range servers {
		members = append(members, s.ID)
	}
	slices.Sort(members)
	g.replicas = slices.DeleteFunc(slices.Compact(members), func(id identifier.BackendServerID) bool { return id == g.primary })
	return g, nil
}

// unknownGroupLimit is the time without a primary after which the registered servers
// count as all of a group that was never recorded. A server that has crashed is back
// within seconds.
const unknownGroupLimit = time.Minute

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
