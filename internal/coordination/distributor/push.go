package distributor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// stragglerWait is how long pushToMembers waits for the remaining instances
// after a majority. It is short so that one slow instance does not delay the
// answer, and long enough for the live ones to be counted.
const stragglerWait = 100 * time.Millisecond

// errPeerAnswer reports an answer of the wrong type or data centre, or from a
// peer that has not joined its roster or holds a newer state than this instance.
var errPeerAnswer = errors.New("peer sent an answer of the wrong type or about another state")

// confirmAnswer is the answer of one peer to a push or an exchange of
// confirmations.
type confirmAnswer struct {
	confirmation ConfigConfirmation
	err          error
}

func (d *Distributor) sendRequest(ctx context.Context, id identifier.InstanceID, body any, timeout time.Duration) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.Request(ctx, id, body)
}

// exchangeAll runs an exchange with every other instance concurrently. The
// channel delivers exactly as many answers as its capacity.
func (d *Distributor) exchangeAll(ctx context.Context, ids []identifier.InstanceID,
	exchange func(context.Context, identifier.InstanceID) (ConfigConfirmation, error),
) chan confirmAnswer {
	others := make([]identifier.InstanceID, 0, len(ids))
	for _, id := range ids {
		if id != d.Instance {
			others = append(others, id)
		}
	}
	answers := make(chan confirmAnswer, len(others))
	for _, id := range others {
		d.spawn(func() {
			c, err := exchange(ctx, id)
			answers <- confirmAnswer{c, err}
		}, func() { answers <- confirmAnswer{err: ErrNotCurrent} })
	}
	return answers
}

// spawn runs a task that Close waits for, or calls closed if Close was called
// before.
func (d *Distributor) spawn(task, closed func()) {
	d.mu.Lock()
	d.initLocked()
	select {
	case <-d.done:
		d.mu.Unlock()
		closed()
		return
	default:
		d.tasks.Add(1)
	}
	d.mu.Unlock()
	go func() {
		defer d.tasks.Done()
		task()
	}()
}

// pushState sends the held head and roster to a peer of the same data centre
// and records what the peer holds afterwards.
func (d *Distributor) pushState(ctx context.Context, id identifier.InstanceID) (ConfigConfirmation, error) {
	state := d.stateFor(d.DataCentre)
	if state == nil {
		return ConfigConfirmation{}, ErrNotCurrent
	}
	answer, err := d.sendRequest(ctx, id, *state, pushTimeout)
	if err != nil {
		return ConfigConfirmation{}, err
	}
	c, ok := answer.(ConfigConfirmation)
	if !ok {
		return ConfigConfirmation{}, errPeerAnswer
	}
	d.recordConfirmation(c)
	return c, nil
}

// pushLoop pushes every new head or roster to the data centre on relays.
func (d *Distributor) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.pushTrigger:
		}
		d.mu.Lock()
		relay := d.held.joined && d.isRelay()
		d.mu.Unlock()
		if relay {
			d.pushToMembers(ctx)
		}
	}
}

// pushToMembers pushes the state to all members, and to those before the last
// roster change, that are not known to hold it. It returns when all hold it,
// stragglerWait after a majority does, or after pushTimeout.
func (d *Distributor) pushToMembers(ctx context.Context) {
	answers := d.exchangeAll(ctx, d.outdated(), d.pushState)
	deadline := time.NewTimer(pushTimeout)
	defer deadline.Stop()
	var stragglerTimeout <-chan time.Time
	for range cap(answers) {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-stragglerTimeout:
			return
		case <-answers:
		}
		if stragglerTimeout == nil && d.majorityHoldsState() {
			t := time.NewTimer(stragglerWait)
			defer t.Stop()
			stragglerTimeout = t.C
		}
	}
}

func (d *Distributor) outdated() []identifier.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.held.roster
	ids := append([]identifier.InstanceID{}, r.Members...)
	if !d.held.established {
		for _, id := range r.Previous {
			if !r.Has(id) {
				ids = append(ids, id)
			}
		}
	}
	outdated := ids[:0]
	for _, id := range ids {
		if !d.holdsHeadAndRoster(id) {
			outdated = append(outdated, id)
		}
	}
	return outdated
}

// majorityHoldsState reports whether a majority holds the head and roster of
// this instance.
func (d *Distributor) majorityHoldsState() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held.roster.HasMajority(d.held.established, d.holdsHeadAndRoster)
}

// preparedMessage lists the instances that are known to hold the state.
func (d *Distributor) preparedMessage() PreparedReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.held
	p := PreparedReport{Roster: h.roster.Version, Established: h.established, RosterAge: d.now().Sub(h.rosterAdoptedAt)}
	if h.joined {
		p.Holders = append(p.Holders, d.confirmationLocked())
	}
	for id, peer := range h.peers {
		if d.holdsHeadAndRoster(id) {
			p.Holders = append(p.Holders, peer.confirmation)
		}
	}
	return p
}
