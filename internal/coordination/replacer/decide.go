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
	// suspicion is the time since the last sign of the primary after which the
	// first instance acts. It is longer than a lost packet takes to be sent
	// again and than two questions on new connections take.
	suspicion = 1100 * time.Millisecond
	// rankDelay is added for each instance that is to act earlier. The lease
	// keeps two from acting together, so it only saves calls.
	rankDelay = 120 * time.Millisecond
	// maxDelay bounds the added delay.
	maxDelay = 600 * time.Millisecond
	// takeover is the time after which the unfinished lease of another holder
	// is taken over.
	takeover = 6 * time.Second
)

// Candidate is a server with what it says of itself.
type Candidate struct {
	Server cataloger.BackendServer
	Member requester.Member
}

// Choose returns the candidate that has received most of the log. A server that
// drains is no candidate. Of equal ones the first id is taken, so that two
// instances with the same view choose the same.
func Choose(all []Candidate) (Candidate, bool) {
	fit := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Server.Draining })
	if len(fit) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(fit, func(a, b Candidate) int {
		return cmp.Or(-compare(a.Member.Received, b.Member.Received), cmp.Compare(a.Server.ID, b.Server.ID))
	}), true
}

// isComplete reports whether the most advanced candidate has every acknowledged
// commit: the lost primary is among them, or so many of its replicas that they
// include one of those that received the commit before it was acknowledged.
func isComplete(all []Candidate, servers []cataloger.BackendServer, syncReplicas int) bool {
	if syncReplicas == 0 {
		return true
	}
	answered, replicas := 0, 0
	for _, c := range all {
		if c.Server.SaysPrimary {
			return true
		}
		answered++
	}
	for _, s := range servers {
		if !s.SaysPrimary {
			replicas++
		}
	}
	return answered > replicas-syncReplicas
}

// saysPrimary reports whether one of the registered servers says that it leads.
func saysPrimary(servers []cataloger.BackendServer) bool {
	return slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.SaysPrimary })
}

func compare(p, q identifier.Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// Delay returns the time that an instance waits after the suspicion, so that
// instances act one after the other. The order differs by service.
func Delay(service identifier.ServiceName, self identifier.InstanceID, members map[identifier.InstanceID]cataloger.Member) time.Duration {
	own := weight(service, self)
	rank := 0
	for id := range members {
		if w := weight(service, id); w > own || (w == own && id > self) {
			rank++
		}
	}
	return min(time.Duration(rank)*rankDelay, maxDelay)
}

func weight(service identifier.ServiceName, id identifier.InstanceID) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(id))
}

// Lease is the right to replace the primary of a term.
type Lease struct {
	Holder   identifier.InstanceID `json:"holder"`
	Term     identifier.Term       `json:"term"` // Of the primary that is replaced.
	Revision uint64                `json:"-"`    // Of the object; the fencing token.
}

// isFree reports whether the lease may be taken by an instance that replaces
// the primary of the term. The lease of an older term has done its work. seen
// is the time since this revision of the lease was first seen.
func (l Lease) isFree(self identifier.InstanceID, term identifier.Term, seen time.Duration) bool {
	return l.Holder == "" || l.Holder == self || l.Term < term || seen >= takeover
}
