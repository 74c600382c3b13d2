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

	"oleanderpulley/internal/coordination/allotter"
	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/placer"
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
	// proofMargin is taken off the time within which a withdrawn key stops
	// working, for the way of a statement to its backend server.
	proofMargin = 400 * time.Millisecond
	// drainMargin is taken off the time within which a leaving server gets
	// statements, for the way of the news through the store and a relay.
	drainMargin = 3 * time.Second
	// acceptPause follows a failed accept, such as one without a descriptor
	// left.
	acceptPause = 20 * time.Millisecond
)

// Starter runs one instance. Settings is required.
type Starter struct {
	Settings    platform.Settings
	MetricsPort int // On the instance's address; 0 serves no metrics.
	Logger      zerolog.Logger

	holder   cataloger.Holder
	registry reporter.Registry
	placer   placer.Placer
	lender   lender.Lender
	sessions sessioner.Server
	allotter allotter.Allotter
	peers    messenger.Messenger
	replacer replacer.Replacer
	reaper   reaper.Reaper
	plans    plans
	store    *platform.Store
	follower follower.Follower
	clients  net.Listener
	probes   *http.Server
	reporter *reporter.Reporter
	known    map[identifier.WorkspaceName]cataloger.Workspace // Those of the present catalog.
	draining atomic.Bool
	done     chan struct{}
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// Start opens the listeners and begins to follow the store.
func (s *Starter) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done = make(chan struct{})
	s.assemble()
	if err := s.listen(ctx); err != nil {
		return err
	}
	if err := s.startPeers(); err != nil {
		return err
	}
	s.tasks.Go(func() { s.replacer.Run(ctx) })
	s.tasks.Go(func() { s.tidy(ctx) })
	s.tasks.Go(func() { s.reaper.Run(ctx) })
	s.tasks.Go(func() { s.follower.Run(ctx) })
	s.Logger.Info().Str("event", "started").Str("address", s.Settings.ClientAddress).Send()
	return nil
}

func (s *Starter) assemble() {
	t := s.Settings
	s.store = &platform.Store{Address: t.StoreAddress, HTTP: platform.NewHTTPClient(), Observe: s.observeStore}
	s.holder.MaxAge = t.KeyWithdrawal - proofMargin
	s.lender.Dial = platform.Dial
	s.lender.Limit = s.connectionLimit
	s.lender.Width = func(b cataloger.BackendServer) int { return s.placer.Width(b.ID) }
	s.placer.DataCentre = t.DataCentre
	s.placer.HasIdle = s.lender.HasIdle
	s.placer.DrainLimit = t.DrainLimit - drainMargin
	s.sessions.Holder = &s.holder
	s.sessions.Lender = &s.lender
	s.sessions.Placer = &s.placer
	s.sessions.Registry = &s.registry
	s.sessions.Logger = s.Logger
	asker := &allotter.Asker{Allotter: &s.allotter, Request: s.requestTokens, Logger: s.Logger}
	s.sessions.Admit = asker.Admit
	s.sessions.AskPeers = s.askPeersForSample
	s.sessions.ParseMember = platform.ParseServerStatus
	s.sessions.Need = s.replacer.Need
	s.sessions.Homes = s.homes
	s.sessions.Forward = s.forward
	s.assembleReplacer()
	s.assembleReaper()
	s.follower = follower.Follower{
		Store:    s.store.FollowerStore(),
		Holder:   &s.holder,
		Self:     cataloger.Member{ID: t.InstanceID, DataCentre: t.DataCentre, Address: t.PeerAddress},
		Logger:   s.Logger,
		OnJoin:   s.allotter.Joined,
		OnChange: s.changed,
		Relay:    s.relay,
	}
}

func (s *Starter) changed(c *cataloger.Catalog) {
	s.lender.Keep(c)
	s.setPeers(c)
	s.forgetWorkspaces(c)
}

// connectionLimit is this instance's part of the connections that the server
// takes from all instances together.
func (s *Starter) connectionLimit(b cataloger.BackendServer) int {
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return 1
	}
	plan := s.plans.plan(c, b.Service)
	return plan.Limit(s.Settings.InstanceID, c.Configuration.Services[b.Service].MaxConnections, len(c.Members))
}

func (s *Starter) listen(ctx context.Context) error {
	var err error
	if s.clients, err = net.Listen("tcp4", s.Settings.ClientAddress); err != nil {
		return errors.Wrap(err, "listening for clients")
	}
	probes, err := net.Listen("tcp4", s.Settings.ProbeAddress)
	if err != nil {
		return errors.Wrap(err, "listening for the readiness probe")
	}
	s.probes = &http.Server{Handler: platform.ReadinessHandler(s.Ready), ReadHeaderTimeout: time.Second}
	s.tasks.Go(func() {
		if err := s.probes.Serve(probes); !errors.Is(err, http.ErrServerClosed) {
			s.Logger.Error().Str("event", "probe_listener_ended").Err(err).Send()
		}
	})
	go s.accept(ctx)
	if s.MetricsPort == 0 {
		return nil
	}
	s.reporter = s.newReporter()
	_, err = s.reporter.Start(net.JoinHostPort(s.Settings.IP, strconv.Itoa(s.MetricsPort)))
	return err
}

func (s *Starter) accept(ctx context.Context) {
	defer close(s.done)
	for {
		conn, err := s.clients.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.Logger.Warn().Str("event", "accept_failed").Err(err).Send()
			time.Sleep(acceptPause)
		default:
			go s.sessions.Serve(platform.NewClient(conn.(*net.TCPConn)))
		}
	}
}

// Ready reports whether new sessions should come to this instance.
func (s *Starter) Ready() bool {
	return len(s.notReady()) == 0
}

// Done is closed when the listener for clients has ended.
func (s *Starter) Done() <-chan struct{} {
	return s.done
}

// Close ends everything at once.
func (s *Starter) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	if s.clients != nil {
		_ = s.clients.Close()
	}
	if s.probes != nil {
		_ = s.probes.Close()
	}
	if s.reporter != nil {
		s.reporter.Close()
	}
	s.peers.Close()
	s.lender.Close()
	s.tasks.Wait()
	s.Logger.Info().Str("event", "stopped").Send()
}

// ConfigVersion returns the version of the configuration in force, 0 before the
// first.
func (s *Starter) ConfigVersion() uint64 {
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return 0
	}
	return uint64(c.Configuration.Version)
}
