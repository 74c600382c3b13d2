package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ErrNoConfiguration reports that the operators have not written any yet.
var ErrNoConfiguration = errors.New("store holds no configuration")

// Periods of the rounds.
const (
	defaultPeriod = time.Second
	waitPeriod    = 2 * time.Second        // Until the first configuration; operators write it before callers come.
	linkPeriod    = 100 * time.Millisecond // While a link to the relay is opened.
	retryPeriod   = 250 * time.Millisecond // After a failed round.
	callTimeout   = 1200 * time.Millisecond
	// firstTimeout bounds the first try of a round; an answer usually takes
	// milliseconds, and a connection that went silent is found by it.
	firstTimeout = 500 * time.Millisecond

	// outage is the time without an answer after which entries of backend
	// servers may have lapsed because the store was away.
	outage = 2500 * time.Millisecond
	// lapse is the time within which such entries are back. A server that is
	// missing longer is gone.
	lapse = 2500 * time.Millisecond
)

// Store reads the lists. Each function returns the store's revision as of the
// answer. All calls are linearizable.
type Store struct {
	Revision      func(ctx context.Context) (uint64, error)
	Configuration func(ctx context.Context) (*cataloger.Configuration, uint64, error)
	Servers       func(ctx context.Context) (map[identifier.ServiceName][]cataloger.BackendServer, uint64, error)
	Members       func(ctx context.Context) (map[identifier.InstanceID]cataloger.Member, uint64, error)
	// Join registers this instance. It reports whether it was missing before;
	// with an error, whether the registration may have been executed.
	Join func(ctx context.Context, m cataloger.Member) (created bool, err error)
}

// Follower runs the rounds. Store, Holder and Self are required.
type Follower struct {
	Store  Store
	Holder *cataloger.Holder
	Self   cataloger.Member
	Logger zerolog.Logger
	// OnJoin is called after this instance was registered for the first time,
	// so that others do not know of it yet. Nil calls nothing.
	OnJoin func()
	// OnChange is called with each new catalog. Nil calls nothing.
	OnChange func(*cataloger.Catalog)
	// Relay asks a relay for the catalog if it differs from the revision. It
	// returns [ErrNoRelay] if this instance has to ask the store itself. Nil
	// always asks the store.
	Relay  func(ctx context.Context, known uint64) (Relayed, error)
	Period time.Duration // 0 means 1 s.

	joined    bool // Registered by this process.
	joining   bool // A registration was sent that may have been executed.
	known     uint64
	reached   bool
	failures  int
	succeeded time.Duration // Clock reading at the last round that succeeded.
	lapseEnd  time.Duration // Until when missing servers are kept.

	removed map[identifier.InstanceID]time.Duration // When each was first missing.
	proven  time.Time                               // Of the catalog at the start of the round.
}

// Run runs rounds until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		err := f.Round(ctx)
		f.report(err)
		pause := f.pause(err) - time.Since(started)
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, 10*time.Millisecond)):
		}
	}
}

func (f *Follower) pause(err error) time.Duration {
	period := f.Period
	if period == 0 {
		period = defaultPeriod
	}
	switch {
	case errors.Is(err, ErrNoConfiguration):
		period = waitPeriod
	case errors.Is(err, ErrConnecting):
		period = linkPeriod
	case err != nil:
		period = min(retryPeriod<<min(f.failures, 2), period)
	}
	return period*7/8 + rand.N(period/4)
}

// report logs when the store is lost and regained.
func (f *Follower) report(err error) {
	switch {
	case errors.Is(err, ErrConnecting):
	case err != nil && !errors.Is(err, ErrNoConfiguration):
		f.failures++
		if f.reached {
			f.reached = false
			f.Logger.Warn().Str("event", "store_lost").Err(err).Send()
		}
	case !f.reached:
		f.reached = true
		f.failures = 0
		f.Logger.Info().Str("event", "store_reached").Uint64("revision", f.known).Send()
	default:
		f.failures = 0
	}
}

// Round brings the catalog up to date and proves it.
func (f *Follower) Round(ctx context.Context) error {
	f.proven = time.Time{}
	if age, ok := f.Holder.Age(); ok {
		f.proven = time.Now().Add(-age)
	}
	if done, err := f.askRelay(ctx); done {
		return err
	}
	if !f.joined {
		// Before the first configuration, so that the others know of this
		// instance when callers come.
		if err := f.join(ctx); err != nil {
			return err
		}
	}
	asked := f.Holder.Clock()
	limit := callTimeout
	if f.failures == 0 {
		limit = firstTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	revision, err := f.Store.Revision(call)
	if err != nil {
		return err
	}
	f.noteOutage(asked)
	if f.isWhole() && revision == f.known {
		f.Holder.Prove(asked)
		return nil
	}
	return f.read(ctx)
}

// isWhole reports whether the catalog has been read once, this instance
// included.
func (f *Follower) isWhole() bool {
	c := f.Holder.Catalog()
	return c != nil && c.Configuration != nil && f.known != 0
}

// read reads all lists. The proof counts from before the first call.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := f.Holder.Clock()
	configuration, revision, err := f.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	f.replace(func(c *cataloger.Catalog) {
		c.Configuration = newer(c.Configuration, configuration)
		c.Revision = 0
	})
	if f.known != 0 {
		f.Holder.Prove(asked)
	}
	servers, _, err := f.Store.Servers(ctx)
	if err != nil {
		return err
	}
	members, err := f.members(ctx)
	if err != nil {
		return err
	}
	f.keepLapsed(servers)
	f.keepRemoved(members, asked)
	f.replace(func(c *cataloger.Catalog) { c.Servers, c.Members, c.Revision = servers, members, revision })
	f.known = revision
	// The first proof comes with the whole catalog: without its registration
	// an instance has no part of any rate.
	f.Holder.Prove(asked)
	return nil
}

// join registers this instance.
func (f *Follower) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	created, err := f.Store.Join(ctx, f.Self)
	if err != nil {
		f.joining = f.joining || created
		return err
	}
	if (created || f.joining) && f.OnJoin != nil {
		f.OnJoin()
	}
	f.joined, f.joining = true, false
	return nil
}

// members reads the registered instances. It registers this one again if it is
// missing, because an instance takes part only in what it sees itself in.
func (f *Follower) members(ctx context.Context) (map[identifier.InstanceID]cataloger.Member, error) {
	members, _, err := f.Store.Members(ctx)
	if err != nil || members[f.Self.ID].Address == f.Self.Address {
		return members, err
	}
	if err := f.join(ctx); err != nil {
		return nil, err
	}
	members, _, err = f.Store.Members(ctx)
	return members, err
}

// newer keeps the configuration with the higher revision, so that an answer
// that was overtaken does not bring an older one back.
func newer(old, read *cataloger.Configuration) *cataloger.Configuration {
	if old != nil && old.Revision > read.Revision {
		return old
	}
	return read
}

func (f *Follower) replace(change func(*cataloger.Catalog)) {
	next := &cataloger.Catalog{}
	old := f.Holder.Catalog()
	if old != nil {
		*next = *old
	}
	change(next)
	f.stampDraining(old, next)
	if old == nil || old.Configuration == nil || old.Configuration.Version != next.Configuration.Version {
		f.Logger.Info().Str("event", "configuration_read").
			Uint64("version", uint64(next.Configuration.Version)).
			Uint64("revision", next.Configuration.Revision).Send()
	}
	f.Holder.Replace(next)
	if f.OnChange != nil {
		f.OnChange(next)
	}
}
