package starter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/homer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/sessioner"
)

// avoidance is the time for which nothing is forwarded to a peer that left a
// statement without an answer.
const avoidance = 2 * time.Second

// linkWait is the time for which a statement waits for the link to its home.
const linkWait = 150 * time.Millisecond

// plans keeps the homes of each service for the newest catalog, and the peers
// that are avoided.
type plans struct {
	mu      sync.Mutex
	catalog *cataloger.Catalog
	plans   map[identifier.ServiceName]*homer.Plan
	avoided map[identifier.InstanceID]time.Time
}

func (p *plans) plan(c *cataloger.Catalog, service identifier.ServiceName) *homer.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.catalog != c {
		p.catalog = c
		p.plans = map[identifier.ServiceName]*homer.Plan{}
	}
	plan, ok := p.plans[service]
	if !ok {
		plan = homer.Make(service, c)
		p.plans[service] = plan
	}
	return plan
}

func (p *plans) avoid(id identifier.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoided == nil {
		p.avoided = map[identifier.InstanceID]time.Time{}
	}
	p.avoided[id] = time.Now().Add(avoidance)
}

func (p *plans) isAvoided(id identifier.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoided[id])
}

// homes returns the peers that statements of the workspace are forwarded to,
// none if they run here.
func (s *Starter) homes(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []identifier.InstanceID {
	c := s.holder.Catalog()
	plan := s.plans.plan(c, service)
	if plan.Everywhere {
		return nil
	}
	var usable, missing []identifier.InstanceID
	for _, m := range plan.Homes(w, s.Settings.DataCentre, s.serverPlaces(c, service, primary)) {
		switch {
		case m.ID == s.Settings.InstanceID:
			return nil
		case s.plans.isAvoided(m.ID):
		case s.peers.Connected(m.ID):
			usable = append(usable, m.ID)
		default:
			missing = append(missing, m.ID)
		}
	}
	if len(usable) == 0 && len(missing) > 0 {
		return s.awaitHome(missing[0])
	}
	return usable
}

// serverPlaces returns the data centres of the primary, or of the replicas.
func (s *Starter) serverPlaces(c *cataloger.Catalog, service identifier.ServiceName, primary bool) []identifier.DataCentre {
	leader, _, _ := s.placer.LastLed(service)
	var places []identifier.DataCentre
	for _, b := range c.Servers[service] {
		if (b.ID == leader) == primary {
			places = append(places, b.DataCentre)
		}
	}
	return places
}

// awaitHome waits for a link to a home. Running the statement here at once would
// cost a connection that the server may not have.
func (s *Starter) awaitHome(id identifier.InstanceID) []identifier.InstanceID {
	if s.peers.Await(id, linkWait) {
		return []identifier.InstanceID{id}
	}
	s.plans.avoid(id)
	return nil
}

// forward sends a statement to a peer.
func (s *Starter) forward(ctx context.Context, to identifier.InstanceID, f sessioner.Forward) (sessioner.Forwarded, error) {
	asked := time.Now()
	reply, err := s.peers.Request(ctx, to, f)
	switch {
	case errors.Is(err, messenger.ErrBusy), errors.Is(err, messenger.ErrUnknownPeer), errors.Is(err, messenger.ErrClosed):
		return sessioner.Forwarded{}, errors.Wrap(sessioner.ErrNotForwarded, err.Error())
	case err != nil:
		s.plans.avoid(to)
		s.peers.Check(to, asked)
		return sessioner.Forwarded{}, err
	}
	r, ok := reply.(sessioner.Forwarded)
	if !ok {
		return sessioner.Forwarded{}, errors.Wrapf(errUnexpected, "%T", reply)
	}
	return r, nil
}

// tidy ends the transactions of peers that are gone and closes connections that
// are not used.
func (s *Starter) tidy(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.sessions.ExpireForeign(sessioner.ForeignLimit)
		s.observeProof()
		s.lender.Trim()
		if i%activityPeriod == 0 {
			s.logActivity()
		}
	}
}

// activityPeriod is the number of seconds between two lines that count what the
// instance has done.
const activityPeriod = 10

func (s *Starter) logActivity() {
	a := &s.sessions.Activity
	s.Logger.Info().Str("event", "activity").Int("sessions", s.sessions.Sessions()).
		Uint64("served", a.Served.Load()).Uint64("late", a.Late.Load()).
		Uint64("failed", a.Failed.Load()).Uint64("refused", a.Refused.Load()).
		Uint64("replica_reads", a.ReplicaReads.Load()).Uint64("primary_reads", a.PrimaryReads.Load()).
		Int64("peer_bytes_sent", s.peers.Counters.BytesSent.Load()).Send()
}
