package replacer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of a replacement.
var (
	// ErrNoRecord reports that the service has no leadership record yet.
	ErrNoRecord = errors.New("leadership record does not exist")
	// ErrRecordChanged reports that another instance replaces the primary or has
	// changed the record since it was read.
	ErrRecordChanged = errors.New("leadership record was changed by another instance")
	// ErrPromotionRefused reports that a promotion was refused and not executed:
	// a newer token was seen, the server is not running, or there were too many
	// requests.
	ErrPromotionRefused = errors.New("promotion was refused")
	// ErrPromotionConflict is an [ErrPromotionRefused] of a server that is not running, or
	// of a token that is lower than one of an earlier promotion.
	ErrPromotionConflict = errors.WithMessage(ErrPromotionRefused, "server is not running or token is too low")
	// ErrPromotionUnknown reports a promotion that was not answered. It may
	// still be executed.
	ErrPromotionUnknown = errors.New("promotion has an unknown outcome")

	errPrimaryLeads     = errors.New("primary still leads")
	errNoCandidate      = errors.New("no server can become the primary")
	errCommitsUnknown   = errors.New("too few servers answered to cover every acknowledged commit")
	errCommitsDiscarded = errors.New("the servers that answered have commits that an earlier promotion discarded")
	errProbeUnanswered  = errors.New("the draining primary could not be promoted, so that it must not step down")
	errSuccessorBehind  = errors.New("successor has not received the whole log")
	errPromotionOpen    = errors.New("an unanswered promotion of another server may still be executed")
	errWindowPassed     = errors.New("the record was written too long ago to request a promotion, or has changed")
)

const (
	checkInterval          = 150 * time.Millisecond
	recentLeadWindow       = 700 * time.Millisecond // A primary seen leading this recently is not queried.
	storeTimeout           = 800 * time.Millisecond
	promoteCallTimeout     = 1500 * time.Millisecond
	lastAnswerTimeout      = 120 * time.Millisecond
	catchUpTimeout         = 1200 * time.Millisecond
	catchUpPollInterval    = 20 * time.Millisecond
	maxPromoteAttempts     = 4
	promoteRetryDelay      = 150 * time.Millisecond
	leadershipTimeout      = 3 * time.Second // From a promotion until the new primary leads.
	leadershipPollInterval = 40 * time.Millisecond
	retryDelay             = 700 * time.Millisecond
	peerSightingWindow     = 800 * time.Millisecond // Sightings of the primary by peers count if they are this recent.
	usageWindow            = 10 * time.Second
	sightingDelay          = 100 * time.Millisecond // Longer than a primary that is reached takes to answer.
	// restoreDelay is the time for which a catalog may lack a record that a peer
	// has announced, several periods of the catalog.
	restoreDelay = 2500 * time.Millisecond
)

// Replacer monitors the primaries of the services that this instance uses and
// replaces those that fail or drain. All function fields except Observe and
// Watchers are required.
type Replacer struct {
	Self    identifier.InstanceID
	Catalog func() *cataloger.Catalog
	Logger  zerolog.Logger
	// Watchers returns the instances that monitor the primary of a service,
	// also when none of them uses it. They act one after the other, before any
	// instance that only uses the service. Nil means all instances.
	Watchers func(identifier.ServiceName) []identifier.InstanceID

	// LastLed returns the server that was last seen leading a service, its
	// term, and when it was seen.
	LastLed func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time)
	// Confirm queries a server whether it leads. It returns [fencer.ErrNotLeading] if
	// the server answers that it does not, and another error if it does not
	// answer.
	Confirm func(cataloger.BackendServer) error
	// Status queries a server for its role and log position.
	Status func(cataloger.BackendServer) (requester.ServerStatus, error)
	// StepDown demotes a primary of a term below the given one to a replica.
	StepDown func(cataloger.BackendServer, identifier.Term) (requester.ServerStatus, error)
	// QueryPeers asks peers whether they have seen a primary of the service
	// lead since the given time.
	QueryPeers func(ctx context.Context, service identifier.ServiceName, since time.Time) PeerSightings

	// Record returns the newest leadership record that this instance knows, and
	// Adopt makes it observe a newer one.
	Record func(identifier.ServiceName) cataloger.Leadership
	Adopt  func(identifier.ServiceName, cataloger.Leadership)
	// ReadRecord reads the record from the store. WriteRecord replaces it if the
	// stored one has the revision of the given one.
	ReadRecord  func(ctx context.Context, service identifier.ServiceName) (cataloger.Leadership, error)
	WriteRecord func(ctx context.Context, service identifier.ServiceName, l cataloger.Leadership) (cataloger.Leadership, error)
	// ReadGroup reads the database group of a service from the store. It returns
	// [ErrNoGroup], or [ErrGroupUnreadable] with the revision of the object. WriteGroup
	// replaces it if the stored one has the revision of the given one. Both are called
	// for services with synchronous replication alone.
	ReadGroup  func(ctx context.Context, service identifier.ServiceName) (cataloger.DatabaseGroup, error)
	WriteGroup func(ctx context.Context, service identifier.ServiceName, g cataloger.DatabaseGroup) (cataloger.DatabaseGroup, error)
	// Members reads the registered instances from the store.
	Members func(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, error)
	// Revoke makes an instance observe an announcement, and reports whether it
	// confirmed that it does not use the old primary any more.
	Revoke func(ctx context.Context, id identifier.InstanceID, service identifier.ServiceName, l cataloger.Leadership) bool
	// Announce tells the other instances a step of a replacement, its successor
	// or its end, without waiting for them.
	Announce func(service identifier.ServiceName, l cataloger.Leadership)
	// Validity is the time for which an instance that does not confirm an
	// announcement may go on using the old primary.
	Validity time.Duration
	// Clock reads a clock that keeps running while the host is suspended.
	Clock func() time.Duration
	// Era returns the newest era of the store that this instance knows.
	Era func() uint64
	// IsProven reports whether the catalog is recent enough to use a primary.
	IsProven func() bool
	// TokensChecked reports that the platform refuses a promotion whose token is lower
	// than one that it has seen for the service, also if it is executed late.
	TokensChecked bool
	// LateLimit is the time after which an unanswered promotion is not executed any
	// more and has taken effect if it was. At 0, unanswered promotions count as lost.
	LateLimit time.Duration
	// Promote requests the promotion of a server from the platform. It returns
	// [ErrPromotionRefused] or [ErrPromotionUnknown].
	Promote func(ctx context.Context, service identifier.ServiceName, id identifier.BackendServerID, l cataloger.Leadership) error
	// Observe, if set, records the duration of each step of a replacement.
	Observe func(step string, took time.Duration)

	mu        sync.Mutex
	watches   map[identifier.ServiceName]*serviceWatch
	lastUsed  map[identifier.ServiceName]time.Time
	handovers int // Hand-overs of evacuated primaries that this instance performs.
	removals  removalHistory
}

// RecordUse records that this instance uses the service. Only services in use
// are monitored, so that the cost does not grow with the services of the fleet.
func (r *Replacer) RecordUse(service identifier.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastUsed == nil {
		r.lastUsed = map[identifier.ServiceName]time.Time{}
	}
	r.lastUsed[service] = time.Now()
}

// Run monitors the services until the context ends.
func (r *Replacer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.observeInstances()
		for _, service := range r.servicesToCheck() {
			w := r.beginCheck(service)
			if w == nil {
				continue
			}
			tasks.Go(func() {
				r.checkService(ctx, service, w)
				update := w.takeGroupUpdate()
				r.endCheck(w)
				if update != nil { // Beside further checks, which it must not delay.
					r.updateGroup(ctx, service, &w.members, *update)
				}
			})
		}
	}
}

// servicesToCheck returns the services that this instance uses and those for
// which it ranks first, so that the primary of a service that no instance uses
// is replaced as well.
func (r *Replacer) servicesToCheck() []identifier.ServiceName {
	c := r.Catalog()
	if c == nil || c.Configuration == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []identifier.ServiceName
	for name := range c.Configuration.Services {
		used := time.Since(r.lastUsed[name]) < usageWindow
		if used || r.rankDelay(name) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// rankDelay returns the delay of this instance for the service.
func (r *Replacer) rankDelay(service identifier.ServiceName) time.Duration {
	if r.Watchers == nil {
		return RankDelay(service, r.Self, slices.Collect(maps.Keys(r.Catalog().Instances)))
	}
	return RankDelay(service, r.Self, r.Watchers(service))
}

// beginCheck returns the state of a service, or nil if a check of it is running
// or has to wait after a failure.
func (r *Replacer) beginCheck(service identifier.ServiceName) *serviceWatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watches == nil {
		r.watches = map[identifier.ServiceName]*serviceWatch{}
	}
	w, ok := r.watches[service]
	if !ok {
		w = &serviceWatch{}
		r.watches[service] = w
	}
	if w.running || time.Now().Before(w.pausedUntil) {
		return nil
	}
	w.running = true
	return w
}

func (r *Replacer) endCheck(w *serviceWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.running = false
}
