package replacer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of the calls that a replacer makes.
var (
	// ErrNoLease reports that the service has no lease object yet.
	ErrNoLease = errors.New("lease does not exist")
	// ErrLeaseTaken reports that the lease has changed meanwhile.
	ErrLeaseTaken = errors.New("lease was taken by another instance")
	// ErrRefused reports that a promotion was refused: a newer token was seen,
	// or the server is not running.
	ErrRefused = errors.New("promotion was refused")
	// ErrPromotionUnknown reports a promotion without an answer. It may still
	// be executed.
	ErrPromotionUnknown = errors.New("promotion has an unknown outcome")

	errAlive       = errors.New("primary leads")
	errNoCandidate = errors.New("no server can take over")
	errIncomplete  = errors.New("too few servers answered to know every acknowledged commit")
	errBehind      = errors.New("successor has not received the whole log")
)

// Periods of the work.
const (
	tick          = 150 * time.Millisecond
	freshLead     = 700 * time.Millisecond // A lead seen this recently needs no question.
	storeTimeout  = 800 * time.Millisecond
	cloudTimeout  = 1500 * time.Millisecond
	lastWait      = 120 * time.Millisecond
	catchUpLimit  = 1200 * time.Millisecond
	catchUpPause  = 20 * time.Millisecond
	promoteTries  = 4
	promotePause  = 150 * time.Millisecond
	leadLimit     = 3 * time.Second // From a promotion to the lead of the new primary.
	leadPause     = 40 * time.Millisecond
	afterFailure  = 700 * time.Millisecond
	peerWindow    = 800 * time.Millisecond // A peer's sight of the primary this recent counts.
	demandForgets = 10 * time.Second
)

// Replacer watches the primaries of the services that this instance uses and
// replaces them. All function fields are required.
type Replacer struct {
	Self    identifier.InstanceID
	Catalog func() *cataloger.Catalog
	Logger  zerolog.Logger

	// LastLed returns who was last seen leading a service, and when.
	LastLed func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time)
	// Confirm asks a server whether it leads and records the answer.
	Confirm func(cataloger.BackendServer) error
	// Status asks a server for its role and position.
	Status func(cataloger.BackendServer) (requester.Member, error)
	// StepDown makes a primary below the term a replica.
	StepDown func(cataloger.BackendServer, identifier.Term) (requester.Member, error)
	// Sight asks the peers who has seen the service led since the time.
	Sight func(ctx context.Context, service identifier.ServiceName, since time.Time) Sight

	ReadLease  func(ctx context.Context, service identifier.ServiceName) (Lease, error)
	WriteLease func(ctx context.Context, service identifier.ServiceName, l Lease) (Lease, error)
	// Observe is told the time of each part of a replacement. Nil is not told.
	Observe func(part string, took time.Duration)
	Promote func(ctx context.Context, service identifier.ServiceName, id identifier.BackendServerID, l Lease) error

	mu       sync.Mutex
	watches  map[identifier.ServiceName]*watch
	demanded map[identifier.ServiceName]time.Time
}

// Sight is what the peers answered.
type Sight struct {
	Asked, Answered int
	Led             bool
}

// allows reports whether a primary without a sign may be replaced. While one is
// registered, most instances have to be heard, because those that are not may
// see it. Once its entry has lapsed, every instance that reaches the store has
// stopped using it, so that a part cut off from the others may go on.
func (s Sight) allows(registered bool) bool {
	return !s.Led && (!registered || s.isMajority())
}

// isMajority reports whether the instances that take part, this one included,
// are more than half.
func (s Sight) isMajority() bool {
	return 2*(s.Answered+1) > s.Asked+1
}

// watch is the state of one service.
type watch struct {
	running  bool
	failing  time.Time // Since when the primary shows no sign; zero if it does.
	lease    Lease     // Last seen.
	leaseAt  time.Time // When its revision was first seen.
	pausedTo time.Time
}

// Need records that the instance uses the service. Only such services are
// watched, so that the cost does not grow with all services of the fleet.
func (r *Replacer) Need(service identifier.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.demanded == nil {
		r.demanded = map[identifier.ServiceName]time.Time{}
	}
	r.demanded[service] = time.Now()
}

// Run watches until the context ends.
func (r *Replacer) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, service := range r.due() {
			w := r.start(service)
			if w == nil {
				continue
			}
			tasks.Go(func() {
				defer r.stop(w)
				r.check(ctx, service, w)
			})
		}
	}
}

// due returns the services in use. Services that nobody has asked for since the
// start are watched as well, so that an idle one gets its primary replaced.
func (r *Replacer) due() []identifier.ServiceName {
	c := r.Catalog()
	if c == nil || c.Configuration == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []identifier.ServiceName
	for name := range c.Configuration.Services {
		used := time.Since(r.demanded[name]) < demandForgets
		if used || Delay(name, r.Self, c.Members) == 0 {
			names = append(names, name)
		}
	}
	return names
}

func (r *Replacer) start(service identifier.ServiceName) *watch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watches == nil {
		r.watches = map[identifier.ServiceName]*watch{}
	}
	w, ok := r.watches[service]
	if !ok {
		w = &watch{}
		r.watches[service] = w
	}
	if w.running || time.Now().Before(w.pausedTo) {
		return nil
	}
	w.running = true
	return w
}

func (r *Replacer) stop(w *watch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.running = false
}

// check looks at one service once and acts if its primary has to be replaced.
func (r *Replacer) check(ctx context.Context, service identifier.ServiceName, w *watch) {
	c := r.Catalog()
	id, term, at := r.LastLed(service)
	primary, registered := c.Server(service, id)
	if registered && primary.Draining {
		r.act(ctx, service, w, term, &primary)
		return
	}
	if registered && time.Since(at) < freshLead {
		w.failing = time.Time{}
		return
	}
	if r.findLeader(c, service) {
		w.failing = time.Time{}
		return
	}
	now := time.Now()
	if w.failing.IsZero() {
		w.failing = firstSign(at, now)
		r.Logger.Warn().Str("event", "primary_lost").Str("service", string(service)).Str("server", string(id)).
			Bool("registered", registered).Uint64("term", uint64(term)).Dur("last_seen_ms", now.Sub(at)).Send()
	}
	if now.Sub(w.failing) < suspicion+Delay(service, r.Self, c.Members) {
		return
	}
	sight := r.Sight(ctx, service, now.Add(-peerWindow))
	if !sight.allows(saysPrimary(c.Servers[service])) {
		r.Logger.Info().Str("event", "replacement_withheld").Str("service", string(service)).
			Int("peers_asked", sight.Asked).Int("peers_answered", sight.Answered).Bool("led", sight.Led).Send()
		w.pausedTo = now.Add(afterFailure)
		return
	}
	r.act(ctx, service, w, term, nil)
}

// firstSign is when the primary began to show no sign: just after it was last
// seen, but not long before its loss was noticed, since an idle service is not
// looked at all the time.
func firstSign(lastLed, noticed time.Time) time.Time {
	if earliest := noticed.Add(-suspicion * 4 / 5); lastLed.Before(earliest) {
		return earliest
	}
	return lastLed
}

// findLeader asks all servers whether one of them leads. It returns at the
// first that does.
func (r *Replacer) findLeader(c *cataloger.Catalog, service identifier.ServiceName) bool {
	found := make(chan bool, len(c.Servers[service]))
	for _, b := range c.Servers[service] {
		go func() { found <- r.Confirm(b) == nil }()
	}
	for range c.Servers[service] {
		if <-found {
			return true
		}
	}
	return false
}
