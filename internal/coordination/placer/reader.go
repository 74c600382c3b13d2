package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Readers orders the servers for a read that must find everything older than
// the age, the one with the least expected cost first. Servers that lag by
// more or are put aside come last, those that drain are left out.
func (p *Placer) Readers(service identifier.ServiceName, servers []cataloger.BackendServer,
	age time.Duration, w identifier.WorkspaceName,
) []cataloger.BackendServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	type choice struct {
		server cataloger.BackendServer
		rank   int
		cost   time.Duration
	}
	leads := p.leader(service).id
	choices := make([]choice, 0, len(servers))
	for _, s := range servers {
		if s.Draining {
			continue
		}
		isLeader := s.ID == leads || (leads == "" && s.SaysPrimary)
		choices = append(choices, choice{s, p.rank(s, isLeader, age), p.cost(s, isLeader, w)})
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.cost, b.cost))
	})
	ordered := make([]cataloger.BackendServer, len(choices))
	for i, c := range choices {
		ordered[i] = c.server
	}
	return ordered
}

func (p *Placer) rank(s cataloger.BackendServer, isLeader bool, age time.Duration) int {
	state := p.server(s.ID)
	now := p.now()
	switch {
	case now.Before(state.asideUntil):
		return rankAside
	case !isLeader && state.lag > age && now.Sub(state.lagAt) < lagLife:
		return rankBehind
	default:
		return rankGood
	}
}

func (p *Placer) cost(s cataloger.BackendServer, isLeader bool, w identifier.WorkspaceName) time.Duration {
	state := p.server(s.ID)
	latency := state.latency
	if latency == 0 {
		latency = startLatency
	}
	cost := latency + latency*time.Duration(state.running)/time.Duration(max(1, s.Slots))
	if isLeader {
		// Leaves the primary's slots to what only it can serve, also
		// where a replica needs a new connection for it.
		cost += latency + handshake
	}
	if s.DataCentre != p.DataCentre {
		cost += distance
	}
	if p.HasIdle != nil && !p.HasIdle(s.ID, w) {
		cost += handshake
	}
	return cost + time.Duration(xxhash.Sum64String(string(w)+string(s.ID))%4)*notPreferred/3
}
