package starter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/assigner"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/sessioner"
)

// avoidDuration is the time for which nothing is forwarded to a peer that failed
// to answer a statement, or that was not connected within homeConnectWait.
const avoidDuration = 2 * time.Second

// homeConnectWait is the time for which a statement waits for the connection to
// its home.
const homeConnectWait = 150 * time.Millisecond

// homePlans caches the plan of homes of each service for the newest catalog,
// and holds the peers to which nothing is forwarded at present.
type homePlans struct {
	mu           sync.Mutex
	catalog      *cataloger.Catalog
	byService    map[identifier.ServiceName]*assigner.Plan
	avoidedUntil map[identifier.InstanceID]time.Time
}

func (p *homePlans) plan(c *cataloger.Catalog, service identifier.ServiceName) *assigner.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.catalog != c {
		p.catalog = c
		p.byService = map[identifier.ServiceName]*assigner.Plan{}
	}
	plan, ok := p.byService[service]
	if !ok {
		plan = assigner.NewPlan(service, c)
		p.byService[service] = plan
	}
	return plan
}

func (p *homePlans) avoid(id identifier.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil == nil {
		p.avoidedUntil = map[identifier.InstanceID]time.Time{}
	}
	p.avoidedUntil[id] = time.Now().Add(avoidDuration)
}

func (p *homePlans) isAvoided(id identifier.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoidedUntil[id])
}

// homes returns the peers to which statements of the workspace can be
// forwarded. It returns none if the statements run on this instance.
func (s *Starter) homes(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []identifier.InstanceID {
	c := s.holder.Catalog()
	plan := s.plans.plan(c, service)
	if plan.Everywhere {
		return nil
	}
	var connected, unconnected []identifier.InstanceID
	for _, m := range plan.Homes(w, s.Settings.DataCentre, s.serverDataCentres(c, service, primary)) {
		switch {
		case m.ID == s.Settings.InstanceID:
			return nil
		case s.plans.isAvoided(m.ID):
		case s.peers.Connected(m.ID):
			connected = append(connected, m.ID)
		default:
			unconnected = append(unconnected, m.ID)
		}
	}
	if len(connected) == 0 && len(unconnected) > 0 {
		return s.waitForHome(unconnected[0])
	}
	return connected
}

// serverDataCentres returns the data centre of the primary or, if primary is
// false, those of the replicas.
func (s *Starter) serverDataCentres(c *cataloger.Catalog, service identifier.ServiceName, primary bool) []identifier.DataCentre {
	primaryID, _, _ := s.balancer.LastLed(service)
	var dataCentres []identifier.DataCentre
	for _, b := range c.Servers[service] {
		if (b.ID == primaryID) == primary {
			dataCentres = append(dataCentres, b.DataCentre)
		}
	}
	return dataCentres
}

// waitForHome waits for a connection to a home and, if there is none in time,
// forwards nothing to it for avoidDuration. Without the wait, the statement
// would run on this instance and need a connection that the server may not have
// to spare.
func (s *Starter) waitForHome(id identifier.InstanceID) []identifier.InstanceID {
	if s.peers.WaitConnected(id, homeConnectWait) {
		return []identifier.InstanceID{id}
	}
	s.plans.avoid(id)
	return nil
}

// forward sends a statement to a peer and returns the result.
func (s *Starter) forward(ctx context.Context, to identifier.InstanceID, f sessioner.ForwardRequest) (sessioner.ForwardReply, error) {
	sentAt := time.Now()
	reply, err := s.peers.Request(ctx, to, f)
	switch {
	case errors.Is(err, messenger.ErrBusy), errors.Is(err, messenger.ErrUnknownPeer), errors.Is(err, messenger.ErrClosed):
		return sessioner.ForwardReply{}, errors.Wrap(sessioner.ErrNotForwarded, err.Error())
	case err != nil:
		s.plans.avoid(to)
		s.peers.Check(to, sentAt)
		return sessioner.ForwardReply{}, err
	}
	r, ok := reply.(sessioner.ForwardReply)
	if !ok {
		return sessioner.ForwardReply{}, errors.Wrapf(errUnexpectedMessage, "%T", reply)
	}
	return r, nil
}

// runMaintenance periodically ends the transactions forwarded by peers that are
// gone, closes unused connections to servers, records the age of the
// configuration proof and logs the activity.
func (s *Starter) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.sessions.ExpireForwarded(sessioner.ForwardedTransactionTimeout)
		s.recordProofAge()
		s.lender.CloseIdle()
		if i%activityLogInterval == 0 {
			s.logActivity()
		}
	}
}

// activityLogInterval is the number of seconds between two log lines with the
// activity counters.
const activityLogInterval = 10

func (s *Starter) logActivity() {
	a := &s.sessions.Activity
	s.Logger.Info().Str("event", "activity").Int("sessions", s.sessions.Sessions()).
		Uint64("served", a.Served.Load()).Uint64("late", a.Late.Load()).
		Uint64("failed", a.Failed.Load()).Uint64("refused", a.Refused.Load()).
		Uint64("replica_reads", a.ReplicaReads.Load()).Uint64("primary_reads", a.PrimaryReads.Load()).
		Int64("peer_bytes_sent", s.peers.Counters.BytesSent.Load()).Send()
}
