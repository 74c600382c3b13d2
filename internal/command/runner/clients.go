package runner

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/acceptor"
	"oleanderpulley/internal/transport/reporter"
)

// sessionLogBurst is the number of log lines of sessions at level info that are
// written each second. Of the lines beyond it, one in sessionLogBurst is written.
const sessionLogBurst = 100

func (r *Runner) buildAcceptor(config *tls.Config) {
	s := r.Settings
	r.acceptor = &acceptor.Acceptor{
		Instance: s.InstanceID, View: r.distributor.Current, Pooler: r.pooler, TLS: config, Log: r.sessionLogger(),
		StartupTimeout:   time.Duration(s.Timeouts.Startup),
		StatementTimeout: time.Duration(s.Timeouts.Statement),
		MaxBatchSize:     int(s.Limits.MessageBytes),
		Hooks: r.Override.applyHooks(acceptor.Hooks{
			Admit:           r.admit,
			RouteRead:       r.routeRead,
			RouteWrite:      r.routeWrite,
			HoldsWriteRight: r.confirmer.Valid,
			MayUse:          r.evacuations.mayUse,
			AcquireSlot:     r.dispatcher.Acquire,
			SampledPosition: func(service identifier.ServiceName, after time.Time) (identifier.Position, bool) {
				// Term 0: the session itself compares the term of a write.
				p, ok, _ := r.router.Floor(service, after, 0)
				return p, ok
			},
			RequestSample: r.prober.RequestSample,
			AwaitMajority: r.waitForMajority,
			ObserveBatch:  r.recordMeasurement,
		}),
	}
}

// sessionLogger returns a logger that limits the lines at level info, because each
// refused request writes one and a workspace far over its rate causes thousands
// per second. The metrics still count every refusal.
func (r *Runner) sessionLogger() zerolog.Logger {
	return r.Logger.Sample(&zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{
		Burst: sessionLogBurst, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: sessionLogBurst},
	}})
}

// admit charges a request to the rate of the workspace. It converts an error into
// the refusal that is sent to the client.
func (r *Runner) admit(ctx context.Context, workspace identifier.WorkspaceName, cost float64) error {
	err := r.sharer.Admit(ctx, workspace, cost)
	if err == nil {
		return nil
	}
	var overRate *sharer.OverRateError
	if errors.As(err, &overRate) {
		refusal := refuser.New(refuser.OverRate, "")
		refusal.RetryAfter = overRate.RetryAfter
		return refusal
	}
	return refuser.New(refuser.NotRun, err.Error())
}

func (r *Runner) routeRead(service identifier.ServiceName, read acceptor.ReadRequirements) (acceptor.Target, error) {
	c, err := r.router.RouteRead(service, router.Read{
		Floor: read.Floor, FloorKnown: read.PositionKnown, MaxAge: read.MaxAge, Deadline: read.Deadline, Since: read.SessionStart,
	})
	return r.acceptorChoice(c, err)
}

func (r *Runner) routeWrite(service identifier.ServiceName) (acceptor.Target, error) {
	c, err := r.router.RouteWrite(service)
	return r.acceptorChoice(c, err)
}

// acceptorChoice adds the address of the backend server to a routing decision, and
// converts [router.ErrPositionLost] and [router.ErrEvacuated] into the refusals that
// are sent to the client.
// After any other error, nothing was sent to a backend server.
func (r *Runner) acceptorChoice(c router.Choice, err error) (acceptor.Target, error) {
	if errors.Is(err, router.ErrPositionLost) {
		return acceptor.Target{}, refuser.New(refuser.PositionLost, err.Error())
	}
	if errors.Is(err, router.ErrEvacuated) {
		return acceptor.Target{}, refuser.New(refuser.Evacuated, err.Error())
	}
	if err != nil {
		return acceptor.Target{}, err
	}
	backends := r.backendServers.Load()
	if backends == nil {
		return acceptor.Target{}, router.ErrUnknownService
	}
	return acceptor.Target{
		Server: c.Server, Address: (*backends)[c.Server].Address, Term: c.Term, Primary: c.Term != 0,
	}, nil
}

// recordMeasurement records a finished batch in the metrics of its workspace and
// service.
func (r *Runner) recordMeasurement(m acceptor.Measurement) {
	set := r.series.get(&r.registry, m.Workspace, m.Service)
	set.statementSeconds.Update(int64(m.Duration))
	if m.State != "" {
		r.registry.Count(reporter.Series{Name: "refusals_total", Workspace: m.Workspace, Service: m.Service, Reason: m.State}, 1)
		return
	}
	if m.Class == classifier.Read {
		reads := &set.replicaReads
		if m.Primary {
			reads = &set.primaryReads
		}
		(*reads).Inc(1)
	}
}

// readyTimeout limits the wait of WaitReady for the first configuration.
const readyTimeout = 10 * time.Second

// WaitReady waits until the instance accepts clients, at most for 10 s. Its error
// lists the reasons why the instance does not.
func (r *Runner) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		changed := r.distributor.Changes()
		reasons := r.NotReadyReasons()
		if len(reasons) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Errorf("instance %s is not ready: %v", r.Settings.InstanceID, reasons)
		}
	}
}
