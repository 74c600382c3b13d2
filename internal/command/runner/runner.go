package runner

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/coordination/dispatcher"
	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
	"oleanderpulley/internal/transport/acceptor"
	"oleanderpulley/internal/transport/administrator"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/platformclient"
	"oleanderpulley/internal/transport/pooler"
	"oleanderpulley/internal/transport/prober"
	"oleanderpulley/internal/transport/reporter"
)

// Timeouts for handing rate shares over and for leaving the roster in a drain.
const (
	shareTransferTimeout = 3 * time.Second
	rosterLeaveTimeout   = 3 * time.Second
)

// Runner runs one instance of the proxy. Settings is required. Start may be
// called only once.
type Runner struct {
	Settings *loader.Settings
	Logger   zerolog.Logger
	Override Overrides

	platform            *platformclient.Client
	messenger           *messenger.Messenger
	lister              *lister.Lister
	distributor         *distributor.Distributor
	sharer              *sharer.Sharer
	dispatcher          *dispatcher.Dispatcher
	groups              tracker.Groups
	confirmer           confirmer.Confirmer
	wakes               tracker.WakeDetector
	prober              *prober.Prober
	promoter            *promoter.Promoter
	router              *router.Router
	pooler              *pooler.Pooler
	acceptor            *acceptor.Acceptor
	administrator       *administrator.Administrator
	reporter            *reporter.Reporter
	registry            reporter.Registry
	series              seriesCache
	backendServers      backendServersPointer
	evacuations         evacuations
	instanceCount       atomic.Int64                    // Length of the platform's instance list.
	instanceListChanges atomic.Int64                    // Number of changes of the instance list.
	services            map[identifier.ServiceName]bool // Used by followConfiguration only.

	mu        sync.Mutex
	addresses Addresses
	draining  bool
	done      chan struct{}
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// Addresses holds the listen addresses of an instance, as IP address and port.
type Addresses struct {
	Clients, Admin, Peers, Metrics string
}

// Start starts all components and returns once all listeners are open. The
// instance may still be waiting for its configuration; see
// [Runner.NotReadyReasons]. After an error, Close releases what was started.
func (r *Runner) Start(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.Background())
	r.cancel, r.done = cancel, make(chan struct{})
	r.services = map[identifier.ServiceName]bool{}
	if err := r.startPeers(); err != nil {
		return err
	}
	r.buildDistributor()
	r.buildShares()
	r.buildGroups()
	if err := r.lister.Start(ctx); err != nil {
		r.Logger.Warn().Str("event", "fleet_unknown").Err(err).Send()
	}
	r.distributor.Start()
	r.sharer.Start()
	r.tasks.Go(func() { r.followConfiguration(lifetime) })
	r.tasks.Go(func() { r.refreshPeriodically(lifetime) })
	if err := r.startReporter(); err != nil {
		return err
	}
	if err := r.startAdmin(); err != nil {
		return err
	}
	if err := r.startClients(); err != nil {
		return err
	}
	r.tasks.Go(func() { r.enforceEvacuations(lifetime) })
	r.Logger.Info().Str("event", "instance_started").Str("clients", r.addresses.Clients).
		Str("admin", r.addresses.Admin).Str("peers", r.addresses.Peers).Str("metrics", r.addresses.Metrics).Send()
	return nil
}

// Addresses returns the listen addresses of the instance.
func (r *Runner) Addresses() Addresses {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses
}

// NotReadyReasons returns why the instance does not accept clients, or nil if it
// does.
func (r *Runner) NotReadyReasons() []string {
	var reasons []string
	r.mu.Lock()
	if r.draining {
		reasons = append(reasons, "instance is draining")
	}
	r.mu.Unlock()
	view, err := r.distributor.Current()
	switch {
	case err != nil:
		reasons = append(reasons, err.Error())
	case view.Accepted.Version == 0:
		reasons = append(reasons, "no configuration has been accepted yet")
	}
	return reasons
}

// Drain stops accepting clients and waits for open transactions to end, at most
// for the setting timeouts.drain or until ctx is done. It then hands the
// instance's rate shares over to peers and leaves the roster. The caller must
// call Close afterwards.
func (r *Runner) Drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.Logger.Info().Str("event", "drain_started").Send()
	drainCtx, cancel := context.WithTimeout(ctx, time.Duration(r.Settings.Timeouts.Drain))
	interrupted := r.acceptor.Drain(drainCtx)
	cancel()
	r.transferShares(ctx)
	leaveCtx, cancel := context.WithTimeout(ctx, rosterLeaveTimeout)
	defer cancel()
	if err := r.distributor.Leave(leaveCtx); err != nil {
		// A relay removes the instance from the roster once the platform no longer
		// lists it.
		r.Logger.Warn().Str("event", "roster_not_left").Err(err).Send()
	}
	r.Logger.Info().Str("event", "drain_ended").Int("interrupted_sessions", interrupted).Send()
}

// transferShares hands the rate shares of this instance over to its peers. It
// does nothing if there are no peers.
func (r *Runner) transferShares(ctx context.Context) {
	if len(r.sharePeers()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTransferTimeout)
	defer cancel()
	if err := r.sharer.Drain(ctx); err != nil {
		// The audit of the ledger issues the shares of a removed instance again.
		r.Logger.Warn().Str("event", "shares_not_drained").Err(err).Send()
	}
}

// Close stops all components without waiting for clients, and waits for their
// goroutines to end.
func (r *Runner) Close() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	if r.acceptor != nil {
		r.acceptor.Close()
	}
	if r.administrator != nil {
		r.administrator.Close()
	}
	if r.reporter != nil {
		r.reporter.Close()
	}
	if r.sharer != nil {
		r.sharer.Close()
	}
	if r.distributor != nil {
		r.distributor.Close()
	}
	if r.lister != nil {
		r.lister.Close()
	}
	r.closeBackends()
	if r.messenger != nil {
		r.messenger.Close()
	}
	if r.platform != nil {
		_ = r.platform.Close()
	}
	r.tasks.Wait()
}

// Done returns a channel that is closed when the client listener has failed.
func (r *Runner) Done() <-chan struct{} { return r.done }

func (r *Runner) hello() encoder.Hello {
	return encoder.Hello{Instance: r.Settings.InstanceID, DataCentre: r.Settings.DataCentre}
}

// startClients opens the client listener and serves it in the background.
func (r *Runner) startClients() error {
	config, err := loadTLSConfig(r.Settings.Clients.TLSCertFile, r.Settings.Clients.TLSKeyFile, "")
	if err != nil {
		return err
	}
	r.buildAcceptor(config)
	listener, err := net.Listen("tcp", r.Settings.Clients.Listen)
	if err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	r.mu.Lock()
	r.addresses.Clients = listener.Addr().String()
	r.mu.Unlock()
	r.tasks.Go(func() {
		if err := r.acceptor.Serve(listener); err != nil {
			r.Logger.Error().Str("event", "listener_failed").Err(err).Send()
			close(r.done)
		}
	})
	return nil
}

func (r *Runner) startAdmin() error {
	s := r.Settings.Admin
	config, err := loadTLSConfig(s.TLSCertFile, s.TLSKeyFile, "")
	if err != nil {
		return err
	}
	r.administrator = administrator.New(r.distributor)
	r.administrator.Tokens, r.administrator.TLS, r.administrator.Logger = s.Tokens, config, r.Logger
	r.administrator.Status = func() any { return r.Status() }
	address, err := r.administrator.Start(s.Listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addresses.Admin = address.String()
	r.mu.Unlock()
	return nil
}

func (r *Runner) startReporter() error {
	r.reporter = &reporter.Reporter{Registry: &r.registry, Ready: r.NotReadyReasons, Status: func() any { return r.Status() }}
	address, err := r.reporter.Start(r.Settings.Metrics.Listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addresses.Metrics = address.String()
	r.mu.Unlock()
	return nil
}

// Propose submits a configuration change and waits for its result; see
// [distributor.Distributor.Propose].
func (r *Runner) Propose(ctx context.Context, s distributor.Submission) (distributor.Result, error) {
	return r.distributor.Propose(ctx, s)
}
