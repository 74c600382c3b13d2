package starter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/assigner"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/sessioner"
)

// avoidDuration is the time for which other homes are preferred to a peer that
// failed to answer a statement, or that was not connected within homeConnectWait.
const avoidDuration = 2 * time.Second

// unprovenDuration is the time for which other homes are preferred, for statements
// that need the primary, to a home whose proof was too old to use one. A home that
// reaches an instance with a recent proof has found it by then.
const unprovenDuration = time.Second

// refusedDuration is the time for which other homes are preferred to a home that
// refuses new statements. It is longer than most drains, after which a statement that
// was sent has an unknown outcome.
const refusedDuration = 5 * time.Second

// homeConnectWait is the time for which a statement waits for the connection to
// its home.
const homeConnectWait = 150 * time.Millisecond

// maxConnectAttempts is the number of homes to which a statement waits for a
// connection.
const maxConnectAttempts = 2

// homePlans caches the fleet and the plan of homes of each service for the newest
// catalog, and holds the peers that others are preferred to at present.
type homePlans struct {
	mu           sync.Mutex
	catalog      *cataloger.Catalog
	members      *assigner.Fleet
	byService    map[identifier.ServiceName]*servicePlan
	avoidedUntil map[identifier.InstanceID]time.Time
	// unprovenUntil holds the homes that are avoided for statements that need the
	// primary.
	unprovenUntil map[identifier.InstanceID]time.Time
	// refusedUntil holds the homes that refused to run a statement, as they do during
	// a drain.
	refusedUntil map[identifier.InstanceID]time.Time
}

// servicePlan holds the plan of a service and the orders of its homes that were
// needed, because each statement needs one.
type servicePlan struct {
	plan   *assigner.Plan
	orders map[homeOrder][]cataloger.Instance
}

// homeOrder is what the order of the homes depends on besides the plan.
type homeOrder struct {
	workspace identifier.WorkspaceName
	primary   bool
	leader    identifier.BackendServerID
}

// adopt drops what was computed for another catalog and has changed since. The caller
// holds mu.
func (p *homePlans) adopt(c *cataloger.Catalog) {
	old := p.catalog
	if old == c {
		return
	}
	p.catalog = c
	if old == nil || !maps.Equal(old.Instances, c.Instances) {
		p.members = assigner.NewFleet(c.Instances)
		p.byService = map[identifier.ServiceName]*servicePlan{}
		return
	}
	maps.DeleteFunc(p.byService, func(service identifier.ServiceName, _ *servicePlan) bool {
		return !slices.Equal(old.Servers[service], c.Servers[service]) ||
			old.Configuration.Services[service].MaxConnections != c.Configuration.Services[service].MaxConnections
	})
}

// fleet returns the instances of the catalog.
func (p *homePlans) fleet(c *cataloger.Catalog) *assigner.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt(c)
	return p.members
}

// plan returns the homes of the service.
func (p *homePlans) plan(c *cataloger.Catalog, service identifier.ServiceName) *assigner.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servicePlan(c, service).plan
}

// servicePlan returns the plan of a service with its orders. The caller holds mu.
func (p *homePlans) servicePlan(c *cataloger.Catalog, service identifier.ServiceName) *servicePlan {
	p.adopt(c)
	s, ok := p.byService[service]
	if !ok {
		plan := assigner.NewPlan(service, p.members, usableServers(c.Servers[service]), c.Configuration.Services[service].MaxConnections)
		s = &servicePlan{plan, map[homeOrder][]cataloger.Instance{}}
		p.byService[service] = s
	}
	return s
}

// order returns all homes of the service in an order, with the data centres of groups
// first. The result must not be modified.
func (p *homePlans) order(c *cataloger.Catalog, service identifier.ServiceName, o homeOrder, groups func() [][]identifier.DataCentre) []cataloger.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servicePlan(c, service)
	homes, ok := s.orders[o]
	if !ok {
		homes = s.plan.Homes(o.workspace, groups()...)
		s.orders[o] = homes
	}
	return homes
}

// usableServers returns the servers that are not evacuated, or all if all are. The
// homes beside an evacuated server are no better than those of a data centre
// without a server.
func usableServers(servers []cataloger.BackendServer) []cataloger.BackendServer {
	usable := slices.DeleteFunc(slices.Clone(servers), func(b cataloger.BackendServer) bool { return b.Evacuated })
	if len(usable) == 0 {
		return servers
	}
	return usable
}

func (p *homePlans) avoid(id identifier.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoidedUntil == nil {
		p.avoidedUntil = map[identifier.InstanceID]time.Time{}
	}
	p.avoidedUntil[id] = time.Now().Add(avoidDuration)
}

// observeReply records whether the home accepts statements, and whether it could use a
// primary for this one.
func (p *homePlans) observeReply(id identifier.InstanceID, f sessioner.ForwardRequest, r sessioner.ForwardReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.IsNew() && !r.Refused {
		delete(p.refusedUntil, id)
	}
	switch {
	case r.Refused:
		if p.refusedUntil == nil {
			p.refusedUntil = map[identifier.InstanceID]time.Time{}
		}
		p.refusedUntil[id] = time.Now().Add(refusedDuration)
	case r.Unproven:
		if p.unprovenUntil == nil {
			p.unprovenUntil = map[identifier.InstanceID]time.Time{}
		}
		p.unprovenUntil[id] = time.Now().Add(unprovenDuration)
	case !r.NotRun() && f.NeedsPrimary():
		delete(p.unprovenUntil, id)
	}
}

// avoidedLast returns the instances with those that are avoided at present behind the
// others. It does not modify the given ones.
func (p *homePlans) avoidedLast(instances []cataloger.Instance, primary bool) []cataloger.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	isAvoided := func(i cataloger.Instance) bool {
		return now.Before(p.avoidedUntil[i.ID]) || now.Before(p.refusedUntil[i.ID]) || primary && now.Before(p.unprovenUntil[i.ID])
	}
	if !slices.ContainsFunc(instances, isAvoided) {
		return instances
	}
	ordered := make([]cataloger.Instance, 0, len(instances))
	var avoided []cataloger.Instance
	for _, i := range instances {
		if isAvoided(i) {
			avoided = append(avoided, i)
		} else {
			ordered = append(ordered, i)
		}
	}
	return append(ordered, avoided...)
}

// homes returns the peers to which statements of the workspace can be forwarded,
// the preferred one first. It returns none if the statements run on this
// instance, or if no home is reached.
func (s *Starter) homes(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []identifier.InstanceID {
	candidates := s.homeCandidates(service, w, primary)
	if s.runsItself(candidates, primary) {
		return nil
	}
	if primary && !s.fencer.IsProven() {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(i cataloger.Instance) bool { return i.ID == s.Settings.InstanceID })
	}
	for range maxConnectAttempts {
		candidates = s.plans.avoidedLast(candidates, primary)
		connected, unconnected := s.linkedHomes(candidates)
		if len(connected) > 0 || unconnected == "" {
			return connected
		}
		if s.peers.WaitConnected(unconnected, homeConnectWait) {
			return []identifier.InstanceID{unconnected}
		}
		s.plans.avoid(unconnected)
	}
	return nil
}

// homeCandidates returns all homes of the service in order of preference. The result
// must not be modified.
func (s *Starter) homeCandidates(service identifier.ServiceName, w identifier.WorkspaceName, primary bool) []cataloger.Instance {
	c := s.holder.Catalog()
	leader, _ := s.balancer.Primary(service, c.Servers[service])
	return s.plans.order(c, service, homeOrder{w, primary, leader.ID}, func() [][]identifier.DataCentre {
		return s.preferredDataCentres(c, service, leader, primary)
	})
}

// linkedHomes returns the homes to which links are open, up to this instance,
// and the first home if there is none. It opens a link to that one only: links
// to further homes are opened if those before them fail.
func (s *Starter) linkedHomes(candidates []cataloger.Instance) (connected []identifier.InstanceID, unconnected identifier.InstanceID) {
	for i, m := range candidates {
		switch {
		case m.ID == s.Settings.InstanceID:
			return connected, ""
		case i == 0 && s.peers.Connected(m.ID), i > 0 && s.peers.HasLink(m.ID):
			connected = append(connected, m.ID)
		case i == 0:
			unconnected = m.ID
		}
	}
	return connected, unconnected
}

// openLinks starts to open the link to the home of the workspace that most
// statements use.
func (s *Starter) openLinks(service identifier.ServiceName, w identifier.WorkspaceName) {
	if candidates := s.homeCandidates(service, w, false); len(candidates) > 0 {
		s.peers.Connected(candidates[0].ID)
	}
}

// runsItself reports whether this instance runs the statements, of which others are
// homes as well. Without a recent proof it cannot use the primary, but another home
// may have one.
func (s *Starter) runsItself(homes []cataloger.Instance, primary bool) bool {
	return s.isHomeOfFirstDataCentre(homes) && (!primary || s.fencer.IsProven())
}

// isHomeOfFirstDataCentre reports whether this instance is one of the homes in the
// data centre of the first one.
func (s *Starter) isHomeOfFirstDataCentre(homes []cataloger.Instance) bool {
	for _, m := range homes {
		if m.DataCentre != homes[0].DataCentre {
			return false
		}
		if m.ID == s.Settings.InstanceID {
			return true
		}
	}
	return false
}

// runsHere reports whether this instance may open connections to the servers of
// the service.
func (s *Starter) runsHere(service identifier.ServiceName) bool {
	c := s.holder.Catalog()
	plan := s.plans.plan(c, service)
	for _, b := range c.Servers[service] {
		if plan.Limit(s.Settings.InstanceID, b.DataCentre) > 0 {
			return true
		}
	}
	return false
}

// preferredDataCentres returns the data centres whose homes come first, in
// groups: that of the primary and then the own one for a statement that needs the
// primary, and the own one and then those of the replicas for another.
func (s *Starter) preferredDataCentres(c *cataloger.Catalog, service identifier.ServiceName, leader cataloger.BackendServer, primary bool) [][]identifier.DataCentre {
	own := []identifier.DataCentre{s.Settings.DataCentre}
	if primary {
		return [][]identifier.DataCentre{{leader.DataCentre}, own}
	}
	var replicas []identifier.DataCentre
	for _, b := range c.Servers[service] {
		if b.ID != leader.ID && !b.Evacuated {
			replicas = append(replicas, b.DataCentre)
		}
	}
	return [][]identifier.DataCentre{own, replicas}
}

// forward sends a statement to a peer and returns the result.
func (s *Starter) forward(ctx context.Context, to identifier.InstanceID, f sessioner.ForwardRequest) (sessioner.ForwardReply, error) {
	sentAt := time.Now()
	request := s.peers.Request
	if f.IsRepeatable() {
		request = s.peers.RequestRepeatable
	}
	reply, err := request(ctx, to, f)
	switch {
	case errors.Is(err, messenger.ErrNotConnected):
		s.plans.avoid(to)
		return sessioner.ForwardReply{}, errors.Wrap(sessioner.ErrNotForwarded, err.Error())
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
	s.plans.observeReply(to, f, r)
	return r, nil
}

// runMaintenance periodically ends the transactions forwarded by peers that are
// gone, closes unused connections to servers, records the age of the
// configuration proof, and logs the activity and suspensions of the host.
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
		s.logSuspension()
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
		Int64("peer_bytes_sent", s.peers.Counters.BytesSent.Load()).
		Int64("peer_messages_sent", s.peers.Counters.MessagesSent.Load()).
		Int("peer_links", s.peers.Links()).Stringer("store_calls", &s.storeCalls).Send()
}
