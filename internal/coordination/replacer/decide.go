package replacer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// suspicionTimeout is the time without contact to the primary after which
	// the first instance in rank order replaces it. It is longer than the
	// retransmission of a lost packet and than two queries on new connections.
	suspicionTimeout = 1100 * time.Millisecond
	// delayPerRank is added for each instance that ranks before this one. The
	// lease already excludes concurrent replacements, so the delay only saves
	// calls.
	delayPerRank = 120 * time.Millisecond
	// maxRankDelay bounds the sum of these delays.
	maxRankDelay = 600 * time.Millisecond
	// leaseTakeoverTimeout is the time after which an instance takes over the
	// lease of another holder that has not finished.
	leaseTakeoverTimeout = 6 * time.Second
)

// Candidate is a server that may become the primary, with the status that it
// reported.
type Candidate struct {
	Server cataloger.BackendServer
	Member requester.ServerStatus
}

// ChooseSuccessor returns the candidate that has received most of the log,
// leaving out draining servers. Ties go to the lowest id, so that two instances
// with the same view choose the same server.
func ChooseSuccessor(candidates []Candidate) (Candidate, bool) {
	eligible := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Server.Draining })
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(-comparePositions(a.Member.Received, b.Member.Received), cmp.Compare(a.Server.ID, b.Server.ID))
	}), true
}

// includesAcknowledgedCommits reports whether the most advanced candidate has
// every acknowledged commit. That is so if the lost primary is a candidate, or
// if enough replicas are that at least one of them received each commit before
// it was acknowledged.
func includesAcknowledgedCommits(candidates []Candidate, servers []cataloger.BackendServer, syncReplicas int) bool {
	if syncReplicas == 0 {
		return true
	}
	answered, replicas := 0, 0
	for _, c := range candidates {
		if c.Server.ClaimsPrimary {
			return true
		}
		answered++
	}
	for _, s := range servers {
		if !s.ClaimsPrimary {
			replicas++
		}
	}
	return answered > replicas-syncReplicas
}

// hasSelfDeclaredPrimary reports whether a registered server declares itself the
// primary.
func hasSelfDeclaredPrimary(servers []cataloger.BackendServer) bool {
	return slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.ClaimsPrimary })
}

func comparePositions(p, q identifier.Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// RankDelay returns how long an instance waits after [suspicionTimeout], so that
// instances act one after the other. The rank of an instance differs between
// services.
func RankDelay(service identifier.ServiceName, self identifier.InstanceID, members map[identifier.InstanceID]cataloger.Instance) time.Duration {
	own := rankWeight(service, self)
	rank := 0
	for id := range members {
		if w := rankWeight(service, id); w > own || (w == own && id > self) {
			rank++
		}
	}
	return min(time.Duration(rank)*delayPerRank, maxRankDelay)
}

func rankWeight(service identifier.ServiceName, id identifier.InstanceID) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(id))
}

// Lease is the exclusive right to replace the primary of a term.
type Lease struct {
	Holder   identifier.InstanceID `json:"holder"`
	Term     identifier.Term       `json:"term"` // Term of the primary that is replaced.
	Revision uint64                `json:"-"`    // Revision of the lease object; serves as the fencing token.
}

// isAvailable reports whether an instance may acquire the lease to replace the
// primary of the term. A lease of an older term is no longer needed by its
// holder. unchangedFor is the time since the instance first saw this revision
// of the lease.
func (l Lease) isAvailable(self identifier.InstanceID, term identifier.Term, unchangedFor time.Duration) bool {
	return l.Holder == "" || l.Holder == self || l.Term < term || unchangedFor >= leaseTakeoverTimeout
}
