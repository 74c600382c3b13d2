package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// startTimeout is the time after which an instance that starts asks others
	// than its relays as well, and reads the lists from the store itself when it is
	// its turn. It covers the start of a relay that was killed at the same moment.
	startTimeout = 600 * time.Millisecond
	// fleetStartTimeout is that time when the whole fleet starts, in which the
	// relays themselves have no catalog before the first configuration.
	fleetStartTimeout = 10 * time.Second
	// fleetStartDelay is the time in which the instances of a fleet that starts
	// have registered.
	fleetStartDelay = 1500 * time.Millisecond
	// directoryInterval is the time between two reads of the directory.
	directoryInterval = 4 * time.Second
)

// startFromRelay gets the first catalog of this process from a relay, so that the
// store does not send its lists to each instance of a fleet that starts. It reports
// whether the round is done without the store's lists; with [ErrConnecting] while the
// relay has no catalog yet that contains this instance.
func (f *Follower) startFromRelay(ctx context.Context) (done bool, err error) {
	if f.Relay == nil || f.Store.Directory == nil || f.isCatalogComplete() || f.Holder.Catalog() != nil {
		return false, nil
	}
	now := f.Holder.Clock()
	if f.startedAt == 0 {
		f.startedAt = now
	}
	if f.transfer == nil && f.isStartOver(now) {
		return false, nil
	}
	if f.FleetStarts && !f.joined {
		return true, f.join(ctx)
	}
	if f.FleetStarts && now-f.startedAt < fleetStartDelay {
		return true, ErrConnecting
	}
	if !f.readDirectory(ctx, now) || !f.startsFromRelay {
		return false, nil
	}
	return f.adoptFirstCatalog(ctx)
}

// needsRelayToStart reports whether the instance waits for its relay. A relay
// does not, because others wait for it; and in a fleet that one relay could serve,
// the lists are short.
func (t *tree) needsRelayToStart(self identifier.InstanceID) bool {
	return len(t.members) > instancesPerRelay && !t.isRelay(self)
}

// adoptFirstCatalog requests the catalog from the relay and adopts it if it
// contains this instance, which registers otherwise. A process that starts again
// need not register.
func (f *Follower) adoptFirstCatalog(ctx context.Context) (done bool, err error) {
	sent := f.Holder.Clock()
	request := CatalogRequest{ProvenOnly: true, Late: f.Holder.Clock()-f.startedAt > f.startTimeout()}
	r, err := f.Relay(ctx, request)
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return true, ErrConnecting
	case r.UpdateBytes > 0 && r.IsRecent():
		f.startTransfer(ctx, r, request)
		return true, ErrConnecting
	}
	return f.adoptFirst(ctx, sent, r)
}

// adoptFirst adopts the first catalog from a reply that was requested at the given
// time.
func (f *Follower) adoptFirst(ctx context.Context, sent time.Duration, r CatalogReply) (done bool, err error) {
	if !r.IsRecent() || r.Update == nil || r.Update.Catalog == nil {
		return true, ErrConnecting
	}
	c := r.Update.Catalog
	switch {
	case c.Configuration == nil || c.Revision.IsZero():
		return true, ErrConnecting
	case c.Instances[f.Self.ID].Address != f.Self.Address && !f.joined:
		f.relayLacksSelf = true
		if err := f.join(ctx); err != nil {
			return true, err
		}
		return true, ErrConnecting
	case !f.adoptReply(sent, r):
		return true, ErrConnecting
	}
	f.joined = true
	return true, nil
}

// isStartOver reports whether the instance reads the lists from the store itself: in
// its turn if no relay has answered, so that a fleet whose relays do not start in
// time does not read all lists at the same moment, and at once if its relay has a
// catalog without this instance.
func (f *Follower) isStartOver(now time.Duration) bool {
	waited := now - f.startedAt - f.startTimeout()
	if waited <= 0 {
		return false
	}
	if f.startTurn == 0 {
		f.startTurn = f.startedAt + f.startTimeout() + rand.N(max(1, f.startInterval))
	}
	return f.relayLacksSelf || now >= f.startTurn
}

func (f *Follower) startTimeout() time.Duration {
	if f.FleetStarts {
		return fleetStartTimeout
	}
	return startTimeout
}

// readDirectory reads the directory and passes it to OnDirectory, unless that was
// done recently. It reports whether the relays of this instance are known.
func (f *Follower) readDirectory(ctx context.Context, now time.Duration) bool {
	if f.directoryReadAt != 0 && now-f.directoryReadAt < directoryInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members, err := f.Store.Directory(ctx)
	if err != nil {
		f.Logger.Info().Str("event", "directory_not_read").Err(err).Send()
		return false
	}
	f.directoryReadAt = now
	if members == nil {
		members = map[identifier.InstanceID]cataloger.Instance{}
	}
	if known := members[f.Self.ID]; known.Address == f.Self.Address && known.DataCentre == f.Self.DataCentre {
		f.joined = true // Verified by the first catalog, which must contain this instance.
	}
	members[f.Self.ID] = f.Self
	t := newTree(members)
	f.startsFromRelay = t.needsRelayToStart(f.Self.ID)
	f.startInterval = t.fallbackInterval(f.Self.ID)
	if f.startsFromRelay {
		f.OnDirectory(members)
	}
	return true
}
