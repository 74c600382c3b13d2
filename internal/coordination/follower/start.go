package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// startTimeout is the time after which an instance that starts reads the
	// lists from the store itself if its relay has not sent them. It covers the
	// start of a relay that was killed at the same moment.
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
// store does not send its lists to each instance of a fleet that starts. It reports whether the round is done without the store's lists; with
// [ErrConnecting] while the relay has no catalog yet that contains this instance.
func (f *Follower) startFromRelay(ctx context.Context) (done bool, err error) {
	if f.Relay == nil || f.Store.Directory == nil || f.isCatalogComplete() || f.Holder.Catalog() != nil {
		return false, nil
	}
	now := f.Holder.Clock()
	if f.startedAt == 0 {
		f.startedAt = now
	}
	if now-f.startedAt > f.startTimeout() {
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
func needsRelayToStart(members map[identifier.InstanceID]cataloger.Instance, self identifier.InstanceID) bool {
	return len(members) > instancesPerRelay && !isRelay(members, self)
}

// adoptFirstCatalog requests the catalog from the relay and adopts it if it
// contains this instance, which registers otherwise. A process that starts again
// need not register.
func (f *Follower) adoptFirstCatalog(ctx context.Context) (done bool, err error) {
	sent := f.Holder.Clock()
	r, err := f.Relay(ctx, CatalogRequest{})
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return true, ErrConnecting
	case !r.IsRecent() || r.Catalog == nil || r.Catalog.Configuration == nil || r.Catalog.Revision == 0:
		return true, ErrConnecting
	case r.Catalog.Instances[f.Self.ID].Address != f.Self.Address && !f.joined:
		if err := f.join(ctx); err != nil {
			return true, err
		}
		return true, ErrConnecting
	case !f.adoptCatalog(r.Catalog):
		return true, ErrConnecting
	}
	f.joined = true
	f.lastSuccess = sent
	f.Holder.SetProof(sent - r.Age)
	return true, nil
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
	f.startsFromRelay = needsRelayToStart(members, f.Self.ID)
	if f.startsFromRelay {
		f.OnDirectory(members)
	}
	return true
}
