package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
	"oleanderpulley/internal/transport/pooler"
	"oleanderpulley/internal/transport/prober"
	"oleanderpulley/internal/transport/reporter"
)

// backendServersByID maps the id of a backend server to its configuration. A map is
// replaced as a whole and never modified.
type backendServersByID map[identifier.BackendServerID]configurer.BackendServer

// errTermEnded is returned for a write when a newer term began before a majority
// of the members had confirmed that they received the write.
var errTermEnded = errors.New("term ended before a majority had confirmed the write")

type backendServersPointer = atomic.Pointer[backendServersByID]

func (r *Runner) buildGroups() {
	s := r.Settings
	r.evacuations.view, r.evacuations.logger = r.distributor.Current, r.Logger
	r.groups.LastWake, r.confirmer.LastWake = r.wakes.LastWake, r.wakes.LastWake
	r.wakes.LastWake() // Suspensions count from now on.
	r.pooler = &pooler.Pooler{
		User: s.Backend.User, Password: s.Backend.Password, Application: string(s.InstanceID), DataCentre: s.DataCentre,
		MaxConnections: r.dispatcher.Budget, OnTooManyConnections: r.dispatcher.ReportTooManyConnections,
		IdleTimeout: time.Duration(s.Timeouts.BackendIdle),
		Dial:        r.Override.backendDialer(),
		OnOutOfStep: r.reportOutOfStep,
	}
	r.prober = &prober.Prober{
		User: r.Settings.Backend.User, Password: r.Settings.Backend.Password,
		Instance: r.Settings.InstanceID, DataCentre: r.Settings.DataCentre,
		Times:    prober.Intervals{RepeatDelay: time.Duration(r.Settings.Timeouts.Probe)},
		OnStatus: r.observeMember,
		OnConnectionLost: func(service identifier.ServiceName, server identifier.BackendServerID) {
			r.groups.Get(service).Forget(server)
		},
		OnSuspected:   r.reportSuspect,
		OnReconnected: r.closeSilentConnections,
		Dial:          r.Override.Dial,
	}
	r.router = &router.Router{
		DataCentre:    r.Settings.DataCentre,
		Group:         r.groups.Get,
		HasWriteRight: r.confirmer.Valid,
		Members:       r.serviceMembers,
		LeavingSince: func(server identifier.BackendServerID) (time.Time, bool) {
			return r.lister.LeavingSince(string(server))
		},
		EvacuatedSince: r.evacuations.since,
		Suspected: func(service identifier.ServiceName) bool {
			server, _, ok := r.groups.Get(service).Primary()
			return ok && r.prober.Suspected(service, server)
		},
		KeepSampled:   r.prober.KeepSampled,
		RequestSample: r.prober.RequestSample,
	}
	r.buildPromoter()
}

// observeMember passes the status of a member to all components that depend on it.
func (r *Runner) observeMember(service identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time) {
	r.confirmer.Observe(service, st, sent)
	r.groups.Get(service).Observe(st, sent, received)
	r.promoter.Check(service)
}

// reportSuspect logs that a backend server does not answer, and reports it to the
// promoter.
func (r *Runner) reportSuspect(service identifier.ServiceName, server identifier.BackendServerID, cause error, since time.Time) {
	r.Logger.Warn().Str("event", "backend_suspected").Str("service", string(service)).
		Str("backend_server", string(server)).Dur("silent_for", time.Since(since)).Err(cause).Send()
	if s := r.Override.SuspectAfter; s == nil || time.Since(since) >= s() {
		r.promoter.Suspect(service, server, since)
	}
}

// reportOutOfStep logs and counts a connection that was closed because it had received
// data that belongs to no statement.
func (r *Runner) reportOutOfStep(server identifier.BackendServerID, reason string) {
	r.registry.Count(reporter.Series{Name: "connections_out_of_step", Reason: string(server)}, 1)
	r.Logger.Warn().Str("event", "backend_out_of_step").Str("backend_server", string(server)).Str("reason", reason).Send()
}

// closeSilentConnections closes the idle connections to a backend server after one
// open connection to it broke or gave no answer. The pooler also closes busy
// connections whose answer it finds to be lost; other statements in flight end by
// their own deadline.
func (r *Runner) closeSilentConnections(service identifier.ServiceName, server identifier.BackendServerID) {
	backends := r.backendServers.Load()
	if backends == nil {
		return
	}
	address := (*backends)[server].Address
	r.Logger.Warn().Str("event", "backend_connection_silent").Str("service", string(service)).
		Str("backend_server", string(server)).Send()
	r.pooler.CheckConnections(pooler.Target{Server: server, Address: address, Database: string(service)}, time.Now())
}

// serviceMembers returns the backend servers of a service, or nil without a current
// configuration.
func (r *Runner) serviceMembers(service identifier.ServiceName) map[identifier.BackendServerID]configurer.BackendServer {
	view, err := r.distributor.Current()
	if err != nil {
		return nil
	}
	return view.Accepted.Services[service].BackendServers
}

// applyGroups sets the members of each service's group. It removes the members of
// services that are no longer in the configuration.
func (r *Runner) applyGroups(view configurer.View) {
	index := backendServersByID{}
	for name, service := range view.Accepted.Services {
		var servers []identifier.BackendServerID
		var members []prober.Member
		for id, b := range service.BackendServers {
			index[id] = b
			servers = append(servers, id)
			members = append(members, prober.Member{Server: id, Address: b.Address})
		}
		r.groups.Get(name).SetMembers(servers)
		r.confirmer.SetMembers(name, servers)
		r.prober.SetGroup(name, members)
		r.services[name] = true
	}
	for name := range r.services {
		if _, ok := view.Accepted.Services[name]; !ok {
			delete(r.services, name)
			r.confirmer.SetMembers(name, nil)
			r.prober.SetGroup(name, nil)
		}
	}
	r.backendServers.Store(&index)
}

// waitForMajority waits until a majority of the members has received everything
// that the primary of the term had committed at the time since.
func (r *Runner) waitForMajority(ctx context.Context, service identifier.ServiceName, term identifier.Term, since time.Time) error {
	g := r.groups.Get(service)
	for {
		changed := g.Changed()
		if p, ok := g.FloorOfTerm(term, since); ok && 2*g.CountReceived(p) > len(r.serviceMembers(service)) {
			return nil
		}
		// The log of a term no longer grows after the term has ended, so a member
		// that lacks the write would never confirm it.
		if _, newest, known := g.Primary(); known && newest > term {
			return errors.Wrapf(errTermEnded, "term %d", term)
		}
		r.prober.RequestSample(service)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (r *Runner) closeBackends() {
	if r.pooler != nil {
		r.pooler.Close()
	}
	if r.prober != nil {
		r.prober.Close()
		r.promoter.Close()
	}
}
