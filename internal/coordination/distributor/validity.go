package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// maxWatchWait is how long the platform may hold a watch open without a change.
const maxWatchWait = 10 * time.Second

// readPlatform reads the roster and then the head, adopts both and extends the
// validity, counted from before the first read. A watch would be cheaper, but a
// watch that lags cannot prove that nothing changed.
func (d *Distributor) readPlatform(ctx context.Context) error {
	sentAt := d.now()
	roster, err := d.readRoster(ctx, d.DataCentre)
	if err != nil {
		return err
	}
	head, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	if err := d.adopt(ctx, head, &roster, ""); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.held
	if h.roster.Has(d.Instance) {
		h.joined = true
		d.updateEstablished()
	}
	if sentAt.After(h.lastRead) {
		h.lastRead = sentAt
	}
	d.extendValidity(sentAt)
	return nil
}

func (d *Distributor) readHead(ctx context.Context) (Head, error) {
	o, err := d.Platform.read(ctx, kindHead, nameHead)
	if err != nil {
		return Head{}, err
	}
	return decodeHead(o)
}

func (d *Distributor) readRoster(ctx context.Context, dc identifier.DataCentre) (Roster, error) {
	o, err := d.Platform.read(ctx, kindRoster, string(dc))
	if err != nil {
		return Roster{}, err
	}
	return decodeRoster(dc, o)
}

// readLoop reads the platform each second on relays. Other instances read it
// themselves when no relay answers. When the relays answer without a recent
// read, two instances a second on average read the platform instead, so that an
// outage does not send all instances to the platform.
func (d *Distributor) readLoop(ctx context.Context) {
	runPeriodically(ctx, readInterval, func(ctx context.Context) {
		d.mu.Lock()
		h := &d.held
		stale := d.now().Sub(h.lastRead) > 2*readInterval && rand.Float64()*float64(len(h.roster.Members)) < 2
		shouldRead := h.joined && (d.isRelay() || h.relaysUnreachable || stale)
		d.mu.Unlock()
		if !shouldRead {
			return
		}
		if err := d.readPlatform(ctx); err != nil {
			d.Logger.Debug().Str("event", "config_read_failed").Str("instance", string(d.Instance)).Err(err).Send()
			return
		}
		d.withdrawAbandoned(ctx)
	})
}

// renewLoop extends the validity by means of the relays, and by a majority of
// the data centre when the remaining validity falls below majorityRoundMargin.
func (d *Distributor) renewLoop(ctx context.Context) {
	runPeriodically(ctx, pollInterval, func(ctx context.Context) {
		d.mu.Lock()
		h := &d.held
		joined, relay, relays := h.joined && !h.stopped, d.isRelay(), d.orderedRelays()
		age, relaysUnreachable := d.now().Sub(h.lastRead), h.relaysUnreachable
		d.mu.Unlock()
		if !joined {
			return
		}
		// An instance that reads the platform in place of the relays always has
		// a recent read. If only the age counted, it would never return to them.
		if !relay && (relaysUnreachable || age > maxRelayReadAge) {
			d.renewFromRelays(ctx, relays)
		}
		d.mu.Lock()
		remaining := h.validUntil.Sub(d.now())
		d.mu.Unlock()
		if remaining < majorityRoundMargin {
			d.runMajorityRound(ctx)
		}
	})
}

// renewFromRelays requests the age of the last platform read from the relays
// until one reports a recent read. If none answers, readLoop reads the
// platform: a slow platform must not delay the majority rounds, which run in
// this goroutine.
func (d *Distributor) renewFromRelays(ctx context.Context, relays []identifier.InstanceID) {
	answered := false
	for _, id := range relays {
		sentAt := d.now()
		c, err := d.exchangeConfirmation(ctx, id)
		if err != nil {
			continue
		}
		answered = true
		if c.ReadAge < 0 {
			continue
		}
		d.mu.Lock()
		h := &d.held
		if readAt := sentAt.Add(-c.ReadAge); readAt.After(h.lastRead) {
			h.lastRead = readAt
			d.extendValidity(readAt)
		}
		age := d.now().Sub(h.lastRead)
		d.mu.Unlock()
		if age < maxRelayReadAge {
			break
		}
	}
	d.mu.Lock()
	d.held.relaysUnreachable = !answered
	d.mu.Unlock()
}

// exchangeConfirmation exchanges confirmations with a peer and adopts the state
// of the peer if it is newer. It returns an error unless this instance then
// holds at least what the peer confirmed.
func (d *Distributor) exchangeConfirmation(ctx context.Context, id identifier.InstanceID) (ConfigConfirmation, error) {
	answer, err := d.sendRequest(ctx, id, d.confirmation(), confirmTimeout)
	if err != nil {
		return ConfigConfirmation{}, err
	}
	c, ok := answer.(ConfigConfirmation)
	if !ok || c.DataCentre != d.DataCentre {
		return ConfigConfirmation{}, errPeerAnswer
	}
	d.recordConfirmation(c)
	if c.State != nil && c.State.Head != nil {
		if err := d.adopt(ctx, *c.State.Head, c.State.Roster, id); err != nil {
			return ConfigConfirmation{}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.Joined || c.Revision > d.held.head.Revision || c.Roster > d.held.roster.Version {
		return ConfigConfirmation{}, errPeerAnswer
	}
	return c, nil
}

// runMajorityRound exchanges confirmations with all members of the data centre.
// It extends the validity when a majority, counted on the same roster, holds
// nothing newer than this instance.
func (d *Distributor) runMajorityRound(ctx context.Context) {
	d.mu.Lock()
	sentAt, roster := d.now(), d.held.roster
	d.mu.Unlock()
	confirmed := map[identifier.InstanceID]bool{d.Instance: true}
	peerOutdated := false
	answers := d.exchangeAll(ctx, roster.Members, d.exchangeConfirmation)
	if d.extendIfMajority(sentAt, roster, confirmed) {
		return // The only member of the data centre.
	}
	for range cap(answers) {
		a := <-answers
		if a.err != nil {
			continue
		}
		d.mu.Lock()
		peerOutdated = peerOutdated || a.confirmation.Revision < d.held.head.Revision || a.confirmation.Roster < d.held.roster.Version
		d.mu.Unlock()
		if a.confirmation.Roster == roster.Version {
			confirmed[a.confirmation.Instance] = true
		}
		if d.extendIfMajority(sentAt, roster, confirmed) {
			break
		}
	}
	if peerOutdated {
		d.triggerPush()
	}
}

// extendIfMajority extends the validity if a majority of the roster confirmed
// and the instance still holds that roster. It reports whether it did.
func (d *Distributor) extendIfMajority(sentAt time.Time, roster Roster, confirmed map[identifier.InstanceID]bool) bool {
	hasMajority := isMajority(roster.Members, func(id identifier.InstanceID) bool { return confirmed[id] }) || d.disabled.majority
	d.mu.Lock()
	defer d.mu.Unlock()
	if !hasMajority || d.held.roster.Version != roster.Version {
		return false
	}
	d.extendValidity(sentAt)
	return true
}

// watchLoop watches the head on relays, so that a change arrives at once and
// not with the next read.
func (d *Distributor) watchLoop(ctx context.Context) {
	var after uint64
	for {
		d.mu.Lock()
		relay := d.held.joined && d.isRelay()
		d.mu.Unlock()
		if !relay {
			if !sleepContext(ctx, readInterval) {
				return
			}
			continue
		}
		objects, next, err := d.watchHead(ctx, after)
		if err != nil {
			if !sleepContext(ctx, pollInterval) {
				return
			}
			continue
		}
		after = next
		for _, o := range objects {
			if head, err := decodeHead(o); err == nil && o.Name == nameHead {
				_ = d.adoptHead(ctx, head, "") // The next read retries.
			}
		}
	}
}

func (d *Distributor) watchHead(ctx context.Context, after uint64) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+platformTimeout)
	defer cancel()
	return d.Platform.Watch(ctx, kindHead, after, maxWatchWait)
}
