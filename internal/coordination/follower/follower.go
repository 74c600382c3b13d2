package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ErrEraChanged reports that the store came back from a copy during a round, or
// that an answer is from before that.
var ErrEraChanged = errors.New("the store came back from an older copy")

// ErrNoConfiguration reports that the operators have not written a configuration
// yet.
var ErrNoConfiguration = errors.New("store holds no configuration")

const (
	defaultPeriod      = 400 * time.Millisecond
	relayPeriod        = 250 * time.Millisecond // Between requests to a relay, whose proofs are as old as its own period.
	unconfiguredPeriod = 2 * time.Second        // Until the first configuration, which operators write before clients connect.
	connectingPeriod   = 100 * time.Millisecond // While a connection to the relay is opened.
	retryPeriod        = 250 * time.Millisecond // After a failed round.
	callTimeout        = 1200 * time.Millisecond
	// listsTimeout bounds the reading of all lists, of which the configuration may
	// take seconds on a slow link. The store's client ends calls that make no progress.
	listsTimeout = 8 * time.Second
	// firstAttemptTimeout bounds the revision query of a round that does not
	// follow a failed one. An answer usually takes milliseconds, so a connection
	// that no longer answers is detected early.
	firstAttemptTimeout = 500 * time.Millisecond

	// outageThreshold is the time without an answer after which entries of
	// backend servers may have lapsed because the store was unavailable.
	outageThreshold = 2500 * time.Millisecond
	// lapsedServerGrace is the time within which backend servers register such
	// entries again. A server that is missing for longer has left.
	lapsedServerGrace = 2500 * time.Millisecond
)

// Store reads the lists of the catalog and registers this instance. Each read
// returns the store's revision as of the answer. All calls are linearizable.
type Store struct {
	Revision      func(ctx context.Context) (cataloger.Revision, error)
	Leaderships   func(ctx context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error)
	Configuration func(ctx context.Context) (*cataloger.Configuration, cataloger.Revision, error)
	Servers       func(ctx context.Context) (map[identifier.ServiceName][]cataloger.BackendServer, cataloger.Revision, error)
	Members       func(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, cataloger.Revision, error)
	// Evacuations reads the data centres that operators evacuate. Nil means that
	// none can be evacuated.
	Evacuations func(ctx context.Context) (map[identifier.DataCentre]cataloger.Evacuation, cataloger.Revision, error)
	// Directory reads the registered instances as of some seconds ago, at a
	// lower cost. May be nil.
	Directory func(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, error)
	// Join registers this instance and reports whether it was not registered
	// before or, with an error, whether the registration may have been executed.
	Join func(ctx context.Context, m cataloger.Instance) (created bool, err error)
}

// Follower updates the catalog in rounds. Store, Holder and Self are required.
type Follower struct {
	Store  Store
	Holder *cataloger.Holder
	Self   cataloger.Instance
	Logger zerolog.Logger
	// OnJoin is called after a registration created the entry of this instance,
	// which the other instances have not read yet. May be nil.
	OnJoin func()
	// OnChange is called with each new catalog before its proof is set. May be
	// nil.
	OnChange func(*cataloger.Catalog)
	// Relay sends the request to the relay. It returns [ErrNoRelay] if this
	// instance has to query the store itself. If it is nil, every round queries
	// the store.
	Relay func(ctx context.Context, request CatalogRequest) (CatalogReply, error)
	// Transfer fetches an update that a reply of Relay has announced. Required if
	// Relay is set.
	Transfer func(ctx context.Context, from identifier.InstanceID, request CatalogRequest) (CatalogReply, error)
	// LinkRate is the number of bytes a second that the link of this instance
	// carries. 0 means that it is not known, and updates are sent without a bound.
	LinkRate float64
	Period   time.Duration // 0 means 0.4 s.
	// OnDirectory is called with the instances that may serve as relays before
	// the first catalog. Required if the store has a directory.
	OnDirectory func(map[identifier.InstanceID]cataloger.Instance)
	// FleetStarts reports that all instances start at the same time, for the
	// first time.
	FleetStarts bool
	// OnEra is called with the first revision, and with the first one after the
	// store came back from a copy, before the catalog is proven again. May be
	// nil.
	OnEra func(era uint64)
	// PeerCatalogs requests the catalogs of other instances when this one
	// starts, because the store may have come back from a copy just then. May be
	// nil.
	PeerCatalogs func(ctx context.Context, members map[identifier.InstanceID]cataloger.Instance) []*cataloger.Catalog

	history         history
	era             uint64 // Of the newest revision.
	eraKnown        bool
	joined          bool // Registered by this process.
	relayed         bool // The last round was answered by a relay.
	joinUncertain   bool // A registration was sent that may have been executed.
	knownRevision   cataloger.Revision
	storeReached    bool
	failures        int
	lastSuccess     time.Duration // Holder's clock before the last query that was answered.
	startedAt       time.Duration // Holder's clock at the first round.
	directoryReadAt time.Duration
	startsFromRelay bool          // By the directory.
	startInterval   time.Duration // Between two reads of the lists by starting instances of the data centre, times their number.
	startTurn       time.Duration // When this instance reads the lists if no relay answers.
	relayLacksSelf  bool          // The relay's catalog did not contain this instance at its start.
	fallbackRole    fallbackRole
	fallbackAt      time.Duration // Next query of the store for want of a recent proof; 0 while there is one.
	lapseGraceEnd   time.Duration // End of the grace for lapsed servers; 0 outside of one.
	restored        bool          // The grace is one after the store came back from a copy.

	// Fallback decides when an instance that does not get a proof from its parents
	// queries the store.
	Fallback        Fallback
	pending         *storeQuery  // Has not been answered yet.
	searches        bool         // The last round got no recent proof from others.
	searchRounds    int          // Such rounds in succession.
	isFallbackQuery bool         // The query of this round is one of a fallback.
	loggedServing   bool         // The log shows this instance as a fallback relay.
	fallbackHops    atomic.Int32 // [CatalogReply.Fallback] of the newest proof.
	wakeOnce        sync.Once
	wakes           chan struct{}

	transfers  transferBudget // Of updates for others.
	transfer   *transfer      // Of an update for this instance, if one is under way.
	transferAt time.Duration  // Earliest start of the next transfer.

	evacuatedSince map[identifier.DataCentre]time.Time // Earliest time at which each evacuation may have begun.

	missingSince map[identifier.InstanceID]time.Duration // When each removed instance was first missing.
	provenAt     time.Time                               // Time as of which the catalog was proven when the round began.
}

// Round updates the catalog and proves it as of the start of the round.
func (f *Follower) Round(ctx context.Context) error {
	err := f.updateOrSearch(ctx)
	f.searchRounds++
	if !f.searches {
		f.searchRounds = 0
	}
	f.logFallback()
	return err
}

func (f *Follower) updateOrSearch(ctx context.Context) error {
	f.provenAt = time.Time{}
	if age, ok := f.Holder.Age(); ok {
		f.provenAt = time.Now().Add(-age)
	}
	f.searches, f.isFallbackQuery, f.relayed = false, false, false
	f.collectTransfer(ctx)
	if answered, err := f.collectAnswer(ctx); answered {
		return err
	}
	done, err := f.updateFromRelay(ctx)
	f.relayed = done
	if done {
		return err
	}
	if done, err := f.startFromRelay(ctx); done {
		return err
	}
	if !f.joined {
		// Registration precedes the first configuration, so that the other
		// instances know this one when clients connect.
		if err := f.join(ctx); err != nil {
			return err
		}
	}
	return f.queryStore(ctx)
}

// isCatalogComplete reports whether all lists of the catalog have been read and
// none of them has to be read again.
func (f *Follower) isCatalogComplete() bool {
	c := f.Holder.Catalog()
	return c != nil && c.Configuration != nil && !f.knownRevision.IsZero()
}

// join registers this instance.
func (f *Follower) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	created, err := f.Store.Join(ctx, f.Self)
	if err != nil {
		f.joinUncertain = f.joinUncertain || created
		return err
	}
	if (created || f.joinUncertain) && f.OnJoin != nil {
		f.OnJoin()
	}
	f.joined, f.joinUncertain = true, false
	return nil
}

// members reads the registered instances. It registers this one again if it is
// missing, because an instance has a share of the rates only if it is in the
// list that it reads.
func (f *Follower) members(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
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

// newerConfiguration returns the configuration with the higher version, so that
// neither an answer that arrives late nor a store that came back from a copy
// restores an older configuration.
func newerConfiguration(old, read *cataloger.Configuration) *cataloger.Configuration {
	if old == nil || read.Version > old.Version {
		return read
	}
	if read.Version == old.Version && read.Revision.IsAfter(old.Revision) {
		return read
	}
	return old
}

// updateCatalog applies a change to a copy of the catalog and publishes the copy.
func (f *Follower) updateCatalog(change func(*cataloger.Catalog)) {
	next := &cataloger.Catalog{}
	old := f.Holder.Catalog()
	if old != nil {
		*next = *old
	}
	change(next)
	f.stampServers(old, next)
	if old == nil || old.Configuration == nil || old.Configuration.Version != next.Configuration.Version {
		f.Logger.Info().Str("event", "configuration_read").
			Uint64("version", uint64(next.Configuration.Version)).
			Stringer("revision", next.Configuration.Revision).Send()
	}
	f.Holder.Replace(next)
	if !next.Revision.IsZero() {
		f.history.add(next)
	}
	if f.OnChange != nil {
		f.OnChange(next)
	}
}
