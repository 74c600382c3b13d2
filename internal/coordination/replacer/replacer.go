package replacer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/fencer"
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
	// ErrPromotionUnknown reports a promotion that was not answered. It may
	// still be executed.
	ErrPromotionUnknown = errors.New("promotion has an unknown outcome")

	errPrimaryLeads    = errors.New("primary still leads")
	errNoCandidate     = errors.New("no server can become the primary")
	errCommitsUnknown  = errors.New("too few servers answered to cover every acknowledged commit")
	errProbeUnanswered = errors.New("the draining primary could not be promoted, so that it must not step down")
	errSuccessorBehind = errors.New("successor has not received the whole log")
	errWindowPassed    = errors.New("the record was written too long ago to request a promotion, or has changed")
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
	// lateCallWindow is the pause after an unanswered promotion of the draining
	// primary, which may be executed late and then replaces a successor. The
	// platform states no bound; where it checks tokens, it refuses a late one.
	lateCallWindow = 5 * time.Second
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
	// Clock reads a clock that keeps running while the machine is suspended.
	Clock func() time.Duration
	// Era returns the newest era of the store that this instance knows.
	Era func() uint64
	// IsProven reports whether the catalog is recent enough to use a primary.
	IsProven func() bool
	// Promote requests the promotion of a server from the platform. It returns
	// [ErrPromotionRefused] or [ErrPromotionUnknown].
	Promote func(ctx context.Context, service identifier.ServiceName, id identifier.BackendServerID, l cataloger.Leadership) error
	// Observe, if set, records the duration of each step of a replacement.
	Observe func(step string, took time.Duration)

	mu        sync.Mutex
	watches   map[identifier.ServiceName]*serviceWatch
	lastUsed  map[identifier.ServiceName]time.Time
	handovers int // Hand-overs of evacuated primaries that this instance performs.
}

// PeerSightings summarizes the answers of peers that were asked whether a
// service has a primary. Led reports whether any of them has seen one lead.
type PeerSightings struct {
	Asked, Answered int
	Led             bool
}

// allowsReplacement reports whether a primary that this instance cannot reach
// may be replaced, although instances that did not answer may still reach it.
// While the primary is registered, it takes a peer that answers and a server of
// the service that this instance reaches: an instance that is cut off alone must
// not end the use of a primary that serves the others. In a partition, the side
// that reaches the store replaces the primary, however few its instances are.
func (s PeerSightings) allowsReplacement(registered bool, serversReached int) bool {
	if s.Led {
		return false
	}
	isAlone := s.Asked > 0 && s.Answered == 0
	return !registered || (!isAlone && serversReached > 0)
}

// serviceWatch is the monitoring state of one service.
type serviceWatch struct {
	running        bool                       // A check is in progress.
	silentSince    time.Time                  // When contact to the primary was lost; zero while it is reachable.
	term           identifier.Term            // Of the record under which silentSince was set.
	lastLeader     identifier.BackendServerID // The server that this instance last saw leading; kept when it does not any more.
	members        memberHistory              // Of a service with synchronous replication.
	announcement   uint64                     // Revision of the newest known announcement of another instance.
	announcedSince time.Time                  // When this instance first knew that announcement.
	leaving        identifier.BackendServerID // The primary that was last seen to drain or to be evacuated.
	leavingSince   time.Time
	blocked        bool      // The primary is evacuated and no server may take over; logged.
	lackingSince   time.Time // When the catalog was first seen to lack the known record; zero while it has it.
	pausedUntil    time.Time
	budget         replacementBudget
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
		for _, service := range r.servicesToCheck() {
			w := r.beginCheck(service)
			if w == nil {
				continue
			}
			tasks.Go(func() {
				defer r.endCheck(w)
				r.checkService(ctx, service, w)
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

// checkService checks the primary of a service once and replaces it if it has
// failed or drains.
func (r *Replacer) checkService(ctx context.Context, service identifier.ServiceName, w *serviceWatch) {
	if !r.IsProven() {
		return // The store does not answer, so that nothing can be announced.
	}
	known := r.Record(service)
	if known.IsReplacing() {
		r.checkReplacement(ctx, service, w, known)
		return
	}
	if known.Term != w.term {
		// The silence was that of another primary.
		w.term, w.silentSince = known.Term, time.Time{}
	}
	if r.restoreRecord(ctx, service, w) {
		return
	}
	c := r.Catalog()
	if len(c.Servers[service]) == 0 {
		return // No server has registered yet that could become the primary.
	}
	id, term, lastLed := r.LastLed(service)
	if id != "" {
		w.lastLeader = id
	}
	primary, registered := c.Server(service, id)
	leads := registered && time.Since(lastLed) < recentLeadWindow
	if c.Configuration.Services[service].SyncReplicas > 0 {
		w.members.observe(c.Servers[service], leads, time.Now())
	}
	if registered && primary.Evacuated && !hasSuccessor(c.Servers[service], id) {
		r.logBlockedEvacuation(service, w, primary)
		return
	}
	w.blocked = false
	if registered && r.canHandOver(primary, lastLed) {
		if w.leavingFor(id) >= r.rankDelay(service) {
			r.handOverPrimary(ctx, service, w, known, primary)
		}
		return
	}
	if leads {
		w.silentSince = time.Time{}
		return
	}
	notNeeded := make(chan struct{})
	sightings := r.queryPeersUnless(ctx, service, notNeeded)
	answersAsPrimary, reached := r.queryServers(c, service)
	if answersAsPrimary {
		close(notNeeded)
		w.silentSince = time.Time{}
		return
	}
	now := time.Now()
	if w.silentSince.IsZero() {
		w.silentSince = estimateSilenceStart(lastLed, now)
		r.Logger.Warn().Str("event", "primary_lost").Str("service", string(service)).Str("server", string(id)).
			Bool("registered", registered).Uint64("term", uint64(term)).Dur("last_seen_ms", now.Sub(lastLed)).Send()
	}
	if now.Sub(w.silentSince) < suspicionTimeout+r.rankDelay(service) {
		close(notNeeded) // It is too early to act on the answers of the peers.
		return
	}
	sight := <-sightings
	if w.budget.isSpent(now) {
		r.Logger.Warn().Str("event", "replacement_withheld").Str("service", string(service)).Str("reason", "replaced too often").
			Int("replacements", len(w.budget.replaced)).Dur("within_ms", replacementWindow).Send()
		w.pausedUntil = now.Add(retryDelay)
		return
	}
	if !sight.allowsReplacement(hasSelfDeclaredPrimary(c.Servers[service]), reached) {
		r.Logger.Info().Str("event", "replacement_withheld").Str("service", string(service)).
			Int("peers_asked", sight.Asked).Int("peers_answered", sight.Answered).Bool("led", sight.Led).Int("servers_reached", reached).Send()
		w.pausedUntil = now.Add(retryDelay)
		return
	}
	r.replacePrimary(ctx, service, w, known, nil)
}

// checkReplacement continues a replacement that this instance or one that was
// killed has not finished.
func (r *Replacer) checkReplacement(ctx context.Context, service identifier.ServiceName, w *serviceWatch, l cataloger.Leadership) {
	unchangedFor := w.unchangedFor(l)
	if isAvailable(l, r.Self, unchangedFor-r.rankDelay(service)) {
		r.replacePrimary(ctx, service, w, l, nil)
	}
}

// unchangedFor returns the time since this instance first knew the record.
func (w *serviceWatch) unchangedFor(l cataloger.Leadership) time.Duration {
	if w.announcement != l.Revision {
		w.announcement, w.announcedSince = l.Revision, time.Now()
	}
	return time.Since(w.announcedSince)
}

// leavingFor returns the time since this instance first saw that the primary
// drains or is evacuated.
func (w *serviceWatch) leavingFor(id identifier.BackendServerID) time.Duration {
	if w.leaving != id {
		w.leaving, w.leavingSince = id, time.Now()
	}
	return time.Since(w.leavingSince)
}

// restoreRecord writes the record of a finished replacement into the store if
// the store lacks it, because its write failed or the store came back from an
// older copy. It reports whether it has tried.
func (r *Replacer) restoreRecord(ctx context.Context, service identifier.ServiceName, w *serviceWatch) bool {
	known, stored := r.Record(service), r.Catalog().Leaderships[service]
	isOwnAnnouncement := stored.IsReplacing() && stored.Holder == r.Self
	if known.Term <= stored.Term && !isOwnAnnouncement {
		w.lackingSince = time.Time{}
		return false
	}
	if w.lackingSince.IsZero() {
		w.lackingSince = time.Now()
	}
	if time.Since(w.lackingSince) < restoreDelay+r.rankDelay(service) {
		return false
	}
	w.lackingSince = time.Time{}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	known.Revision = stored.Revision
	l, err := r.WriteRecord(ctx, service, known)
	if err == nil {
		r.Adopt(service, l)
	}
	r.Logger.Info().Str("event", "record_restored").Str("service", string(service)).Uint64("term", uint64(known.Term)).Err(err).Send()
	return true
}

// estimateSilenceStart returns when contact to the primary was lost: just after
// it was last seen leading, but not long before the loss was noticed, because an
// idle service is not queried continuously.
func estimateSilenceStart(lastLed, noticed time.Time) time.Time {
	if earliest := noticed.Add(-suspicionTimeout * 4 / 5); lastLed.Before(earliest) {
		return earliest
	}
	return lastLed
}

// queryPeersUnless asks the peers about the primary of the service after
// [sightingDelay]. No result arrives if notNeeded is closed before.
func (r *Replacer) queryPeersUnless(ctx context.Context, service identifier.ServiceName, notNeeded <-chan struct{}) <-chan PeerSightings {
	sightings := make(chan PeerSightings, 1)
	go func() {
		timer := time.NewTimer(sightingDelay)
		defer timer.Stop()
		select {
		case <-notNeeded:
		case <-timer.C:
			sightings <- r.QueryPeers(ctx, service, time.Now().Add(-peerSightingWindow))
		}
	}()
	return sightings
}

// queryServers queries the servers of a service concurrently. It returns true as
// soon as one that was not replaced answers that it leads, and otherwise the
// number of servers that answered.
func (r *Replacer) queryServers(c *cataloger.Catalog, service identifier.ServiceName) (leads bool, reached int) {
	answers := make(chan error, len(c.Servers[service]))
	leader := r.Record(service).Server
	for _, b := range c.Servers[service] {
		go func() {
			err := r.Confirm(b)
			if err == nil && leader != "" && leader != b.ID {
				err = fencer.ErrNotLeading
			}
			answers <- err
		}()
	}
	for range c.Servers[service] {
		switch err := <-answers; {
		case err == nil:
			return true, reached
		case errors.Is(err, fencer.ErrNotLeading):
			reached++
		}
	}
	return false, reached
}
