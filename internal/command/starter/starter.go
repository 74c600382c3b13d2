package starter

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/balancer"
	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/reporter"
	"oleanderpulley/internal/transport/sessioner"
	"oleanderpulley/platform"
)

const (
	// proofMargin is subtracted from the time within which a withdrawn key must
	// stop working. It covers the time that a statement takes to reach its
	// backend server.
	proofMargin = 400 * time.Millisecond
	// drainMargin is subtracted from the time within which a draining server
	// may get statements. It covers the propagation of the server's state
	// through the store and a relay.
	drainMargin = 3 * time.Second
	// evacuationMargin is subtracted from the time within which the servers of an
	// evacuated data centre may get statements. It covers the time in which a
	// statement is sent and reaches its server. The propagation of the request is
	// not part of it, because that time counts from the last proof without the
	// request.
	evacuationMargin = time.Second
	// acceptRetryDelay is the time to the next accept after a failed one, for
	// example when no file descriptor is left.
	acceptRetryDelay = 20 * time.Millisecond
)

// Starter runs one instance. Settings is required.
type Starter struct {
	Settings    platform.Settings
	MetricsPort int // Listens on the instance's IP; 0 serves no metrics.
	Logger      zerolog.Logger

	holder             cataloger.Holder
	registry           reporter.Registry
	balancer           balancer.Balancer
	fencer             fencer.Fencer
	lender             lender.Lender
	sessions           sessioner.Server
	limiter            ratelimiter.Limiter
	peers              messenger.Messenger
	replacer           replacer.Replacer
	reaper             reaper.Reaper
	plans              homePlans
	store              *platform.Store
	storeCalls         callCounts
	invalidEntries     invalidEntries
	follower           follower.Follower
	clientListener     net.Listener
	probeServer        *http.Server
	reporter           *reporter.Reporter
	workspaces         map[identifier.WorkspaceName]cataloger.Workspace // Of the current catalog.
	peersOf            *cataloger.Catalog                               // To which messenger and limiter were updated last.
	evacuations        map[identifier.DataCentre]cataloger.Evacuation   // Of the current catalog.
	search             follower.Search                                  // For a proof from other instances.
	suspensions        suspensionDetector
	draining           atomic.Bool
	clientListenerDone chan struct{}
	cancel             context.CancelFunc
	tasks              sync.WaitGroup
}

// Start opens the listeners and starts the background tasks, such as following
// the store.
func (s *Starter) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.clientListenerDone = make(chan struct{})
	s.configureComponents()
	if err := s.listen(ctx); err != nil {
		return err
	}
	if err := s.startPeers(); err != nil {
		return err
	}
	// Both addresses are bound, so that no previous process admits operations.
	s.limiter.StartedAt = time.Now()
	s.tasks.Go(func() { s.replacer.Run(ctx) })
	s.tasks.Go(func() { s.runMaintenance(ctx) })
	s.tasks.Go(func() { s.reaper.Run(ctx) })
	s.tasks.Go(func() { s.follower.Run(ctx) })
	s.Logger.Info().Str("event", "started").Str("address", s.Settings.ClientAddress).Send()
	return nil
}

func (s *Starter) configureComponents() {
	settings := s.Settings
	s.invalidEntries.Registry, s.invalidEntries.Logger = &s.registry, s.Logger
	s.store = &platform.Store{
		Address: settings.StoreAddress, HTTP: platform.NewHTTPClient(),
		Observe: s.recordStoreCall, ObserveInvalid: s.invalidEntries.Observe,
	}
	s.holder.MaxAge = settings.KeyWithdrawal - proofMargin
	s.lender.Dial = platform.Dial
	s.lender.Limit = s.connectionLimit
	s.lender.Registry, s.lender.Logger = &s.registry, s.Logger
	s.lender.ConcurrencyLimit = func(b cataloger.BackendServer) int { return s.balancer.ConcurrencyLimit(b.ID) }
	s.balancer.DataCentre = settings.DataCentre
	s.balancer.HasIdle = s.lender.HasIdle
	s.balancer.ColdRate = s.coldRate
	s.balancer.DrainLimit = settings.DrainLimit - drainMargin
	if settings.EvacuationLimit > 0 { // For the balancer 0 means no limit.
		s.balancer.EvacuationLimit = max(time.Nanosecond, settings.EvacuationLimit-evacuationMargin)
	}
	s.fencer.Holder = &s.holder
	s.fencer.OnChange = s.leadershipChanged
	s.sessions.Holder = &s.holder
	s.sessions.Fencer = &s.fencer
	s.sessions.Lender = &s.lender
	s.sessions.Balancer = &s.balancer
	s.sessions.Registry = &s.registry
	s.sessions.Logger = s.Logger
	s.sessions.Regions, s.sessions.Region = settings.Regions, settings.Regions[settings.DataCentre]
	tokenRequester := &ratelimiter.Admitter{Limiter: &s.limiter, Request: s.requestTokens, Logger: s.Logger}
	s.sessions.Admit = tokenRequester.Admit
	s.sessions.FetchPeerSample = s.fetchSampleFromPeers
	s.sessions.ParseServerStatus = platform.ParseServerStatus
	s.sessions.WatchPrimary = s.replacer.RecordUse
	s.sessions.Homes = s.homes
	s.sessions.RunsHere = s.runsHere
	s.sessions.OpenLinks = s.openLinks
	s.sessions.Forward = s.forward
	s.configureReplacer()
	s.configureReaper()
	s.search = follower.Search{
		Self: settings.InstanceID, Holder: &s.holder, Fallback: &s.follower.Fallback,
		Connected: s.peers.Connected, Request: s.requestCatalog,
	}
	followerStore := s.store.FollowerStore()
	if settings.EvacuationLimit == 0 {
		followerStore.Evacuations = nil // Saves a call for each change of the store.
	}
	s.follower = follower.Follower{
		Store:    followerStore,
		Holder:   &s.holder,
		Self:     cataloger.Instance{ID: settings.InstanceID, DataCentre: settings.DataCentre, Address: settings.PeerAddress, Processor: settings.Processor},
		Logger:   s.Logger,
		OnJoin:   s.limiter.MarkRegistered,
		OnChange: s.catalogChanged,
		OnEra:    s.eraChanged,

		PeerCatalogs: s.fetchPeerCatalogs,
		Relay:        s.search.Fetch,
		Transfer:     s.requestCatalog,
		LinkRate:     settings.LinkRate,
		OnDirectory:  s.adoptDirectory,
		FleetStarts:  settings.FleetStarts,
	}
}

func (s *Starter) catalogChanged(c *cataloger.Catalog) {
	s.fencer.ObserveAll(c)
	s.lender.Adapt(c)
	s.updatePeers(c)
	s.dropRemovedWorkspaces(c)
	s.logEvacuations(c)
}

// connectionLimit returns the number of connections that this instance may open
// to the server. It is 1 before a configuration is known.
func (s *Starter) connectionLimit(b cataloger.BackendServer) int {
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return 1
	}
	return s.plans.plan(c, b.Service).Limit(s.Settings.InstanceID, b.DataCentre)
}

// coldRate returns the statements a second that this instance may send to a server
// that is still slow after its start, and false if its service has no limit.
func (s *Starter) coldRate(b cataloger.BackendServer) (perSecond float64, limited bool) {
	c := s.holder.Catalog()
	rate := c.Configuration.Services[b.Service].ColdRate
	if rate <= 0 {
		return 0, false
	}
	return rate * s.plans.plan(c, b.Service).ColdShare(s.Settings.InstanceID, b.DataCentre), true
}

func (s *Starter) listen(ctx context.Context) error {
	var err error
	if s.clientListener, err = net.Listen("tcp4", s.Settings.ClientAddress); err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	probeListener, err := net.Listen("tcp4", s.Settings.ProbeAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the readiness probe")
	}
	s.probeServer = &http.Server{Handler: platform.ReadinessHandler(s.Ready), ReadHeaderTimeout: time.Second}
	s.tasks.Go(func() {
		if err := s.probeServer.Serve(probeListener); !errors.Is(err, http.ErrServerClosed) {
			s.Logger.Error().Str("event", "probe_listener_ended").Err(err).Send()
		}
	})
	go s.acceptClients(ctx)
	if s.MetricsPort == 0 {
		return nil
	}
	s.reporter = s.newReporter()
	_, err = s.reporter.Start(net.JoinHostPort(s.Settings.IP, strconv.Itoa(s.MetricsPort)))
	return err
}

func (s *Starter) acceptClients(ctx context.Context) {
	defer close(s.clientListenerDone)
	for {
		conn, err := s.clientListener.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.Logger.Warn().Str("event", "accept_failed").Err(err).Send()
			time.Sleep(acceptRetryDelay)
		default:
			go s.sessions.Serve(platform.NewClient(conn.(*net.TCPConn)))
		}
	}
}

// Ready reports whether the instance accepts new sessions.
func (s *Starter) Ready() bool {
	return len(s.notReadyReasons()) == 0
}

// Done returns a channel that is closed when the listener for clients has
// ended.
func (s *Starter) Done() <-chan struct{} {
	return s.clientListenerDone
}

// Close closes the listeners and all connections to peers and servers, without
// a drain, and waits for the background tasks.
func (s *Starter) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	if s.clientListener != nil {
		_ = s.clientListener.Close()
	}
	if s.probeServer != nil {
		_ = s.probeServer.Close()
	}
	if s.reporter != nil {
		s.reporter.Close()
	}
	s.peers.Close()
	s.lender.Close()
	s.tasks.Wait()
	s.Logger.Info().Str("event", "stopped").Send()
}

// ConfigVersion returns the version of the current configuration, 0 before the
// first.
func (s *Starter) ConfigVersion() uint64 {
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return 0
	}
	return uint64(c.Configuration.Version)
}
