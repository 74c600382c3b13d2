package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Readers returns the servers for a read that must find every commit older than
// the age, the one with the lowest expected cost first. Servers that lag by more
// follow, then ejected ones. Draining and evacuated servers
// are left out, and cold ones that may not get a statement now.
func (b *Balancer) Readers(service identifier.ServiceName, servers []cataloger.BackendServer,
	age time.Duration, w identifier.WorkspaceName,
) []cataloger.BackendServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	type candidate struct {
		server cataloger.BackendServer
		rank   int
		cost   time.Duration
	}
	leaderID := b.leader(service).id
	candidates := make([]candidate, 0, len(servers))
	for _, s := range servers {
		if s.IsLeaving() || !b.admitsCold(s) {
			continue
		}
		isLeader := s.ID == leaderID || (leaderID == "" && s.ClaimsPrimary)
		candidates = append(candidates, candidate{s, b.rank(s, isLeader, age), b.cost(s, isLeader, w)})
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.cost, y.cost))
	})
	ordered := make([]cataloger.BackendServer, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.server
	}
	return ordered
}

func (b *Balancer) rank(s cataloger.BackendServer, isLeader bool, age time.Duration) int {
	state := b.server(s.ID)
	now := b.now()
	switch {
	case now.Before(state.ejectedUntil):
		return rankEjected
	case !isLeader && state.lag > age && now.Sub(state.lagSeenAt) < maxLagAge:
		return rankLagging
	default:
		return rankUsable
	}
}

func (b *Balancer) cost(s cataloger.BackendServer, isLeader bool, w identifier.WorkspaceName) time.Duration {
	state := b.server(s.ID)
	latency := state.latency
	if latency == 0 {
		latency = initialLatency
	}
	cost := latency + latency*time.Duration(state.inFlight)/time.Duration(max(1, s.Slots))
	if isLeader {
		// Reserves the primary's slots for statements that only it can
		// serve, even if a replica needs a new connection for the read.
		cost += latency + connectCost
	}
	if s.DataCentre != b.DataCentre {
		cost += crossDataCentreCost
	}
	if b.HasIdle != nil && !b.HasIdle(s.ID, w) {
		cost += connectCost
	}
	return cost + time.Duration(xxhash.Sum64String(string(w)+string(s.ID))%4)*maxAffinityCost/3
}
