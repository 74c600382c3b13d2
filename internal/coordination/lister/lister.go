package lister

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

const (
	pollInterval   = time.Second
	requestTimeout = 300 * time.Millisecond
	// maxRelaySilence is the time without an answer of a relay after which an
	// instance reads the platform itself. The jitter spreads these reads over the
	// instances of a data centre whose relays were replaced.
	maxRelaySilence = 3 * time.Second
	fallbackJitter  = 3 * time.Second
)

// ErrStale reports that the platform's list was not read recently.
var ErrStale = errors.New("list of instances was not read recently")

// Lister maintains this instance's view of the fleet. Function fields are set
// before Start.
type Lister struct {
	Self identifier.InstanceID
	// Relays returns the relays of this data centre, and none until this
	// instance has joined the roster.
	Relays func() []identifier.InstanceID
	// ReadInstances and ReadRosters read the lists from the platform.
	ReadInstances func(ctx context.Context) ([]Entry, error)
	ReadRosters   func(ctx context.Context) ([]Roster, error)
	Request       func(ctx context.Context, peer identifier.InstanceID, body any) (any, error)
	// OnChange, if set, is called after the view has changed.
	OnChange func()
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time

	mu             sync.Mutex
	view           view
	platformView   view                  // As this instance itself last read the platform; peers are answered from it.
	platformReadAt time.Time             // When the last successful read of the platform was sent.
	confirmedAt    time.Time             // When the platform or a relay last confirmed the view.
	silenceLimit   time.Duration         // maxRelaySilence plus jitter.
	lastRelay      identifier.InstanceID // Relay that answered last; used only by the polling goroutine.
	done           chan struct{}
	cancel         context.CancelFunc
}

// Start begins polling, which lasts until Close. It reads the platform once
// before it returns, so that the instance knows its peers. If that read fails,
// Start returns the error and polling continues.
func (l *Lister) Start(ctx context.Context) error {
	pollCtx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	l.cancel, l.done = cancel, make(chan struct{})
	l.platformView.origin = rand.Uint64()
	l.mu.Unlock()
	err := l.readPlatform(ctx)
	go l.poll(pollCtx)
	return err
}

// Close stops polling and waits until it has ended.
func (l *Lister) Close() {
	l.mu.Lock()
	cancel, done := l.cancel, l.done
	l.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// Entries returns the entries with the role, sorted by ID.
func (l *Lister) Entries(role Role) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []Entry
	for _, e := range l.view.entries {
		if e.Role == role {
			entries = append(entries, e.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return entries
}

// Rosters returns the rosters of all data centres.
func (l *Lister) Rosters() []Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	rosters := make([]Roster, 0, len(l.view.rosters))
	for _, r := range l.view.rosters {
		rosters = append(rosters, r.Roster)
	}
	return rosters
}

// LeavingSince returns when this instance first saw the entry as leaving, and
// whether the entry is leaving now.
func (l *Lister) LeavingSince(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.view.entries[id]
	return e.stateSince, ok && e.State == StateLeaving
}

// ListedIDs returns the IDs of all listed instances as this instance last read
// them from the platform, or [ErrStale] if that was more than two poll
// intervals ago.
func (l *Lister) ListedIDs() ([]identifier.InstanceID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.platformReadAt.IsZero() || l.now().Sub(l.platformReadAt) > 2*pollInterval {
		return nil, ErrStale
	}
	var ids []identifier.InstanceID
	for _, e := range l.platformView.entries {
		if e.Role == RoleEntry {
			ids = append(ids, identifier.InstanceID(e.ID))
		}
	}
	return ids, nil
}

// Handle answers the request of a peer from what this instance read from the
// platform itself.
func (l *Lister) Handle(request FleetRequest) (FleetState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.platformReadAt.IsZero() {
		return FleetState{}, ErrStale
	}
	s := l.platformView.changesSince(request)
	s.Age = l.now().Sub(l.platformReadAt)
	return s, nil
}

func (l *Lister) poll(ctx context.Context) {
	defer close(l.done)
	l.silenceLimit = maxRelaySilence + rand.N(fallbackJitter)
	for {
		// Jitter spreads the requests of the instances of a data centre.
		wait := pollInterval*9/10 + rand.N(pollInterval/5)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		l.refresh(ctx)
	}
}

// refresh reads the platform if this instance is a relay or knows none, and
// queries the relays otherwise. It reads the platform as well if no relay has
// answered for too long.
func (l *Lister) refresh(ctx context.Context) {
	relays := l.Relays()
	if len(relays) == 0 || slices.Contains(relays, l.Self) {
		_ = l.readPlatform(ctx) // On failure the view is kept and the next poll tries again.
		return
	}
	// A relay answers with changes only if its own previous answer is known, so
	// the one that answered last is queried first.
	if i := slices.Index(relays, l.lastRelay); i > 0 {
		relays[0], relays[i] = relays[i], relays[0]
	}
	for _, relay := range relays {
		if l.queryRelay(ctx, relay) == nil {
			l.lastRelay = relay
			return
		}
	}
	l.mu.Lock()
	silence := l.now().Sub(l.confirmedAt)
	l.mu.Unlock()
	if silence > l.silenceLimit {
		l.silenceLimit = maxRelaySilence + rand.N(fallbackJitter)
		_ = l.readPlatform(ctx) // On failure the view is kept and the next poll tries again.
	}
}

// queryRelay applies the answer of one relay to the view. It returns [ErrStale]
// if the relay has not read the platform recently.
func (l *Lister) queryRelay(ctx context.Context, relay identifier.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	l.mu.Lock()
	request := FleetRequest{Origin: l.view.origin, Revision: l.view.revision}
	l.mu.Unlock()
	body, err := l.Request(ctx, relay, request)
	if err != nil {
		return err
	}
	state, ok := body.(FleetState)
	if !ok {
		return errors.Errorf("relay %s answered with unexpected type %T", relay, body)
	}
	l.mu.Lock()
	changed := false
	// A relay that has lost the platform may know less than this instance, so
	// its answer is applied only if its read is recent or this instance has no
	// view yet.
	fresh := state.Age < maxRelaySilence
	if fresh || l.confirmedAt.IsZero() {
		changed = l.view.apply(state, l.now())
		l.confirmedAt = l.now().Add(-state.Age)
	}
	l.mu.Unlock()
	l.notify(changed)
	if !fresh {
		return ErrStale
	}
	return nil
}

// readPlatform replaces the view by the lists of the platform.
func (l *Lister) readPlatform(ctx context.Context) error {
	sent := l.now()
	entries, err := l.ReadInstances(ctx)
	if err != nil {
		return err
	}
	rosters, err := l.ReadRosters(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.platformView.replace(entries, rosters, l.now())
	changed := l.view.replace(entries, rosters, l.now())
	l.view.origin = 0 // Makes the next answer of a relay a full one.
	l.platformReadAt, l.confirmedAt = sent, sent
	l.mu.Unlock()
	l.notify(changed)
	return nil
}

func (l *Lister) notify(changed bool) {
	if changed && l.OnChange != nil {
		l.OnChange()
	}
}

func (l *Lister) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}
