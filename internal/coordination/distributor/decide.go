package distributor

import (
	"context"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Timing of the requests to the data centres about a proposal.
const (
	preparedTimeout  = time.Second
	preparedInterval = 200 * time.Millisecond
)

// dataCentreState is what the proposer has learned about the instances of one
// data centre.
type dataCentreState struct {
	roster      Roster
	established bool
	rosterAge   time.Duration // How long, at least, the roster has been in place.
	holders     map[identifier.InstanceID]bool
}

// decideProposal waits for the instances to prepare the open proposal and
// accepts or withdraws it.
func (d *Distributor) decideProposal(ctx context.Context, head Head) (Result, error) {
	proposalCtx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	refusal := "the rosters could not be read"
	dataCentres, ok := d.readAllRosters(proposalCtx, head)
	if ok {
		refusal = d.awaitPrepared(proposalCtx, head, dataCentres)
	}
	cancel()
	settled, err := d.updateHead(ctx, head.Revision, head.withProposalSettled(refusal))
	if err != nil {
		return Result{}, &UndecidedError{Reason: err.Error(), RetryAfter: 5 * time.Second}
	}
	if err := d.adoptHead(ctx, settled, ""); err == nil {
		d.announceHead(ctx, settled, dataCentres)
	}
	o, ok := settled.outcome(head.Proposal.Attempt)
	if !ok {
		return Result{}, &UndecidedError{Reason: "the outcome is no longer recorded", RetryAfter: time.Second}
	}
	return o.result()
}

// readAllRosters reads all rosters after the proposal was opened. An instance
// that is in none of them joins later and then reads the proposal. The head is
// read again, because rosters may only be sent with a head that was read after
// them.
func (d *Distributor) readAllRosters(ctx context.Context, head Head) (map[identifier.DataCentre]*dataCentreState, bool) {
	for {
		objects, err := d.Platform.list(ctx, kindRoster)
		if err == nil {
			var latest Head
			if latest, err = d.readHead(ctx); err == nil {
				dataCentres, ok := decodeRosters(objects)
				return dataCentres, ok && latest.Revision == head.Revision
			}
		}
		if !sleepContext(ctx, pollInterval) {
			return nil, false
		}
	}
}

func decodeRosters(objects []Object) (map[identifier.DataCentre]*dataCentreState, bool) {
	dataCentres := make(map[identifier.DataCentre]*dataCentreState, len(objects))
	for _, o := range objects {
		dc := identifier.DataCentre(o.Name)
		r, err := decodeRoster(dc, o)
		if err != nil {
			return nil, false
		}
		dataCentres[dc] = &dataCentreState{roster: r, holders: map[identifier.InstanceID]bool{}}
	}
	return dataCentres, true
}

// awaitPrepared waits until the proposal may be accepted and returns "", or the
// reason of the refusal at the deadline.
func (d *Distributor) awaitPrepared(ctx context.Context, head Head, dataCentres map[identifier.DataCentre]*dataCentreState) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan preparedAnswer)
	for dc, c := range dataCentres {
		if len(c.roster.Members) > 0 {
			d.spawn(func() { d.pollDataCentre(ctx, dc, c.roster, head, answers) }, func() {})
		}
	}
	var waitElapsed <-chan time.Time
	for {
		withoutMajority, allPrepared := d.checkMajorities(dataCentres)
		if allPrepared {
			return ""
		}
		if len(withoutMajority) == 0 && waitElapsed == nil {
			t := time.NewTimer(acceptanceWait)
			defer t.Stop()
			waitElapsed = t.C
		}
		select {
		case a := <-answers:
			dataCentres[a.dataCentre].countHolders(a.prepared, head.Revision)
		case <-waitElapsed:
			return ""
		case <-ctx.Done():
			if len(withoutMajority) == 0 {
				return "the majorities were prepared too late"
			}
			return missingMajorityReason(withoutMajority)
		}
	}
}

// checkMajorities returns the data centres without a majority, and whether
// every instance of all data centres is prepared.
func (d *Distributor) checkMajorities(dataCentres map[identifier.DataCentre]*dataCentreState) (withoutMajority []identifier.DataCentre, allPrepared bool) {
	allPrepared = true
	for dc, c := range dataCentres {
		holds := func(id identifier.InstanceID) bool { return c.holders[id] }
		if !c.roster.HasMajority(c.established || d.disabled.previous, holds) {
			withoutMajority = append(withoutMajority, dc)
		}
		// A removed instance may serve for Validity after its last read before
		// the removal. Until then the wait for acceptance may not be skipped.
		removedExpired := len(c.roster.Removed) == 0 || c.rosterAge >= acceptanceWait
		allPrepared = allPrepared && removedExpired && c.roster.AllHold(holds)
	}
	slices.Sort(withoutMajority)
	return withoutMajority, allPrepared && len(withoutMajority) == 0
}

// countHolders adds the instances that hold the proposal and the roster on
// which the proposer counts the majority, or a newer one.
func (c *dataCentreState) countHolders(p PreparedReport, revision uint64) {
	if p.Roster == c.roster.Version {
		c.established = c.established || p.Established
		c.rosterAge = max(c.rosterAge, p.RosterAge)
	}
	// A roster changes only once it is established, so that a later roster
	// proves that this one was established.
	if p.Roster > c.roster.Version {
		c.established = true
	}
	for _, h := range p.Holders {
		if h.Joined && h.Revision >= revision && h.Roster >= c.roster.Version {
			c.holders[h.Instance] = true
		}
	}
}

type preparedAnswer struct {
	dataCentre identifier.DataCentre
	prepared   PreparedReport
}

// pollDataCentre requests one instance of a data centre after the other to push
// the proposal to its data centre and to report which instances hold it, until
// the context ends.
func (d *Distributor) pollDataCentre(ctx context.Context, dc identifier.DataCentre, r Roster, head Head, answers chan<- preparedAnswer) {
	request := PreparedReport{State: &ConfigState{Head: &head, Roster: &r}}
	counted := dataCentreState{roster: r, holders: map[identifier.InstanceID]bool{}}
	ranked := r.ranked()
	for {
		for _, id := range ranked {
			p, err := d.pollInstance(ctx, dc, id, request)
			if err != nil {
				continue
			}
			select {
			case answers <- preparedAnswer{dc, p}:
			case <-ctx.Done():
				return
			}
			counted.countHolders(p, head.Revision)
			break
		}
		if !r.HasMajority(counted.established, func(id identifier.InstanceID) bool { return counted.holders[id] }) {
			ranked = append(ranked[1:], ranked[0]) // The first instance may be partitioned from the others.
		}
		if !sleepContext(ctx, preparedInterval) {
			return
		}
	}
}

func (d *Distributor) pollInstance(ctx context.Context, dc identifier.DataCentre, id identifier.InstanceID, request PreparedReport) (PreparedReport, error) {
	if dc == d.DataCentre {
		if err := d.adopt(ctx, *request.State.Head, request.State.Roster, ""); err != nil {
			return PreparedReport{}, err
		}
		d.pushToMembers(ctx)
		return d.preparedMessage(), nil
	}
	answer, err := d.sendRequest(ctx, id, request, preparedTimeout)
	if err != nil {
		return PreparedReport{}, err
	}
	p, ok := answer.(PreparedReport)
	if !ok {
		return PreparedReport{}, errPeerAnswer
	}
	return p, nil
}

// announceHead sends a settled head to the relays of all data centres. It does
// not wait for them, because they also watch the platform.
func (d *Distributor) announceHead(ctx context.Context, head Head, dataCentres map[identifier.DataCentre]*dataCentreState) {
	for _, c := range dataCentres {
		for _, id := range c.roster.relays() {
			if id == d.Instance {
				continue
			}
			d.spawn(func() {
				_, _ = d.sendRequest(context.WithoutCancel(ctx), id, ConfigState{Head: &head}, pushTimeout)
			}, func() {})
		}
	}
}

// withdrawAbandoned withdraws a proposal that its proposer did not settle.
// Instances try in the order of their rank, so that usually only one of them
// writes.
func (d *Distributor) withdrawAbandoned(ctx context.Context) {
	d.mu.Lock()
	head, since := d.held.head, d.held.proposalAdoptedAt
	rank := slices.Index(d.held.roster.ranked(), d.Instance)
	d.mu.Unlock()
	age := abandonedProposalAge + time.Duration(max(0, rank))*confirmTimeout
	if head.Proposal == nil || d.now().Sub(since) < age {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout)
	defer cancel()
	latest, err := d.readHead(ctx) // From the platform, because peers do not send the outcomes.
	if err != nil || latest.Revision != head.Revision {
		return
	}
	head = latest
	settled, err := d.updateHead(ctx, head.Revision, head.withProposalSettled("its proposer did not settle it within 10s"))
	if err == nil {
		_ = d.adoptHead(ctx, settled, "") // The next read retries.
	}
}
