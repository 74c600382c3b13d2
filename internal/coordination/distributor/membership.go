package distributor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// ErrRosterNotEstablished reports that no majority of the data centre holds its
// roster, so that the roster cannot be changed.
var ErrRosterNotEstablished = errors.New("no majority of the data centre holds its roster")

// maxLeaveTries limits the tries of Leave to update the roster.
const maxLeaveTries = 5

// joinLoop adds the instance to its roster whenever it is not a member.
func (d *Distributor) joinLoop(ctx context.Context) {
	runPeriodically(ctx, pollInterval, func(ctx context.Context) {
		for ctx.Err() == nil && !d.joinedOrStopped() {
			if err := d.joinRoster(ctx); err != nil {
				d.Logger.Debug().Str("event", "roster_join_failed").Str("instance", string(d.Instance)).Err(err).Send()
				// The random wait prevents instances that start together
				// from conflicting repeatedly.
				sleepContext(ctx, 20*time.Millisecond+rand.N(150*time.Millisecond))
			}
		}
	})
}

func (d *Distributor) joinedOrStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held.joined || d.held.stopped
}

// joinRoster reads the platform and adds the instance to the roster if it is
// not a member. A read after the update makes the instance ready.
func (d *Distributor) joinRoster(ctx context.Context) error {
	if d.Joining != nil {
		d.Joining()
	}
	if d.Joined != nil {
		defer func() {
			if d.joinedOrStopped() {
				d.Joined()
			}
		}()
	}
	if err := d.readPlatform(ctx); err != nil || d.joinedOrStopped() {
		return err
	}
	if err := d.changeRoster(ctx, func(r Roster) (Roster, bool) {
		return r.withMember(d.Instance), !r.Has(d.Instance)
	}); err != nil {
		return err
	}
	err := d.readPlatform(ctx)
	// Once a majority holds the roster, it can change again and the previous
	// roster no longer counts.
	d.pushToMembers(ctx)
	return err
}

// changeRoster applies one change to the held roster, provided that a majority
// of it and of the previous one hold it.
func (d *Distributor) changeRoster(ctx context.Context, change func(Roster) (Roster, bool)) error {
	d.pushToMembers(ctx)
	d.mu.Lock()
	r := d.held.roster
	r.DataCentre = d.DataCentre // It is empty before the first roster.
	agreed := r.HasMajority(d.held.established, d.holdsRoster)
	rosterAge := d.now().Sub(d.held.rosterAdoptedAt)
	d.mu.Unlock()
	if !agreed {
		return ErrRosterNotEstablished
	}
	if rosterAge >= acceptanceWait {
		r.Removed = nil
	}
	next, changed := change(r)
	if !changed {
		return nil
	}
	_, err := d.writeRoster(ctx, next, r.Version)
	return err
}

// Leave stops serving and removes the instance from its roster. If it fails,
// the relays remove the instance later as a dead one.
func (d *Distributor) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.initLocked()
	joined := d.held.joined
	d.held.stopped = true
	d.publishView()
	d.mu.Unlock()
	if !joined {
		return nil
	}
	var err error
	for range maxLeaveTries {
		if err = d.changeRoster(ctx, func(r Roster) (Roster, bool) {
			return r.withoutMember(d.Instance, true), r.Has(d.Instance)
		}); err == nil {
			return nil
		}
		if !sleepContext(ctx, 20*time.Millisecond+rand.N(150*time.Millisecond)) {
			break
		}
		_ = d.readPlatform(ctx) // The next try reports the failure.
	}
	return err
}

// delistedGrace is how long an instance that was listed before must be missing
// from the list of live instances. It is shorter than the interval between two
// reads of the list, so that two reads have to agree. A removal is safe at any
// time, because acceptances and the recovery of rates wait after it until the
// removed instance can no longer serve.
const delistedGrace = readInterval / 2

// removeDeadLoop removes dead instances on relays: those that are missing from
// the list of the platform and do not answer. An instance that this relay has
// never seen listed gets acceptanceWait, because the list lags behind a start.
func (d *Distributor) removeDeadLoop(ctx context.Context) {
	absent, listed := map[identifier.InstanceID]time.Time{}, map[identifier.InstanceID]bool{}
	runPeriodically(ctx, readInterval, func(ctx context.Context) {
		d.mu.Lock()
		relay, members := d.held.joined && d.isRelay(), d.held.roster.Members
		d.mu.Unlock()
		if !relay {
			clear(absent)
			clear(listed)
			return
		}
		live, err := d.Platform.Live(ctx)
		if err != nil {
			return
		}
		for _, id := range members {
			if id == d.Instance || slices.Contains(live, id) {
				delete(absent, id)
				listed[id] = true
				continue
			}
			if _, ok := absent[id]; !ok {
				absent[id] = d.now()
			}
			grace := acceptanceWait
			if listed[id] {
				grace = delistedGrace
			}
			if d.now().Sub(absent[id]) > grace {
				d.removeIfUnresponsive(ctx, id)
			}
		}
	})
}

func (d *Distributor) removeIfUnresponsive(ctx context.Context, id identifier.InstanceID) {
	if _, err := d.sendRequest(ctx, id, d.confirmation(), confirmTimeout); err == nil {
		return
	}
	err := d.changeRoster(ctx, func(r Roster) (Roster, bool) {
		return r.withoutMember(id, false), r.Has(id)
	})
	d.Logger.Info().Str("event", "roster_remove").Str("instance", string(id)).Str("data_centre", string(d.DataCentre)).Err(err).Send()
	_ = d.readPlatform(ctx) // readLoop retries.
}

// Retire empties the roster of a data centre that is permanently lost, so that
// changes no longer wait for it. The operator is responsible for making sure
// that none of its instances serves. Retire returns after instances that can
// still read the platform have stopped serving.
func (d *Distributor) Retire(ctx context.Context, dc identifier.DataCentre) error {
	r, err := d.readRoster(ctx, dc)
	if err != nil {
		return err
	}
	if r.Version == 0 {
		return errors.Wrapf(ErrNoDataCentre, "%.60q", dc)
	}
	removals := r.Removals + uint64(len(r.Members))
	version, err := d.writeRoster(ctx, Roster{
		DataCentre: dc, Removed: append(r.Removed, r.Members...), Removals: removals, Retired: true,
	}, r.Version)
	if err != nil {
		return err
	}
	if !sleepContext(ctx, acceptanceWait) {
		return ctx.Err()
	}
	_, err = d.writeRoster(ctx, Roster{DataCentre: dc, Removals: removals, Retired: true}, version)
	if errors.Is(err, ErrConflict) {
		return nil // An instance has joined again.
	}
	return err
}

// ErrNoDataCentre reports a data centre that has no roster.
var ErrNoDataCentre = errors.New("data centre has no roster")

func (d *Distributor) writeRoster(ctx context.Context, r Roster, version uint64) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode roster")
	}
	version, err = d.Platform.write(ctx, kindRoster, string(r.DataCentre), value, version)
	return version, errors.Wrapf(err, "update roster of %s", r.DataCentre)
}
