package promoter

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// unseenTermGrace is how long an attempt waits if the record names an open term
// that this instance has not observed at any member yet.
const unseenTermGrace = 2 * time.Second

// maxAnswerAge is the maximum age of an answer that counts towards a reachable
// majority.
const maxAnswerAge = 3 * time.Second

// peerQueryTimeout limits the query to the peers, because the decision waits for
// it.
const peerQueryTimeout = 300 * time.Millisecond

// observedRecord is another attempt's record and the time, by the clock of this
// instance, at which it was first read.
type observedRecord struct {
	holder string
	stage  Stage
	since  time.Time
}

// attempt is one attempt to open a term.
type attempt struct {
	p       *Promoter
	service identifier.ServiceName
	reason  Reason
	record  GroupRecord
	version uint64
	// successor is the member that has the whole log of a draining primary;
	// empty if there is none.
	successor  identifier.BackendServerID
	gap        Gap
	phaseStart time.Time // Start of the current phase of the gap.
}

// Run makes one attempt to open a term for the given reason. It also returns nil
// if the reason ceases to apply before the attempt has claimed a term.
func (p *Promoter) Run(ctx context.Context, service identifier.ServiceName, reason Reason) error {
	a := &attempt{p: p, service: service, reason: reason, phaseStart: p.now()}
	g := p.Group(service)
	_, term, hasPrimary := g.Primary()
	for _, m := range p.Members(service) {
		a.record.Members = append(a.record.Members, m.Server)
	}
	if !p.majorityAnswered(service, len(a.record.Members)) {
		return errors.Wrapf(ErrNoMajority, "group %s of %d members", service, len(a.record.Members))
	}
	if reason == Failed {
		p.mu.Lock()
		a.gap.Detection = a.phaseStart.Sub(p.serviceState(service).suspicion.lastAnswer)
		p.mu.Unlock()
	}
	if (reason == Failed || !hasPrimary) && p.peerAnswered(ctx, service, term) {
		return errors.Wrapf(ErrPeerAnswer, "group %s, term %d or later", service, term)
	}
	if obsolete := p.waitForTurn(ctx, service, reason, term); obsolete {
		return errors.WithStack(ctx.Err())
	}
	if err := a.decide(ctx, term); err != nil {
		return err
	}
	a.gap.Decision = a.endPhase()
	a.reportStep(StepDecided)
	return a.open(ctx)
}

// majorityAnswered reports whether a majority of the members has a log and has
// answered within maxAnswerAge. Without such a majority an attempt cannot
// succeed, and its fence would only keep the reachable members from replicating
// the primary's log.
func (p *Promoter) majorityAnswered(service identifier.ServiceName, members int) bool {
	g := p.Group(service)
	n := 0
	for _, st := range g.Statuses() {
		if _, sent, ok := g.Status(st.Server); ok && st.Term > 0 && p.now().Sub(sent) < maxAnswerAge {
			n++
		}
	}
	return members > 0 && n >= members/2+1
}

// peerAnswered reports whether the primary has answered a peer. It reports false
// if the peers don't reply within peerQueryTimeout.
func (p *Promoter) peerAnswered(ctx context.Context, service identifier.ServiceName, term identifier.Term) bool {
	if p.PrimaryAnsweredPeer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answered, err := p.PrimaryAnsweredPeer(ctx, service, term)
	return err == nil && answered
}

// waitForTurn delays the attempt by the rank of this instance, so that instances
// that rank before it go first. It returns true if the reason ceases to apply or
// ctx ends during the wait.
func (p *Promoter) waitForTurn(ctx context.Context, service identifier.ServiceName, reason Reason, term identifier.Term) bool {
	rank := 0
	if p.Instances != nil {
		rank = Rank(service, p.Instance, p.Instances())
	}
	if rank == 0 {
		return false
	}
	turn := p.after(time.Duration(rank) * orDefault(p.Times.RankDelay, 300*time.Millisecond))
	g := p.Group(service)
	for {
		changed := g.Changed()
		if _, newest, _ := g.Primary(); newest > term || p.mostUrgentReason(service) != reason {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-turn:
			return false
		case <-changed:
		}
	}
}

// decide claims the next term in the group's record, or resumes this instance's
// own attempt if the record names it.
func (a *attempt) decide(ctx context.Context, newestTerm identifier.Term) error {
	p := a.p
	rec, version, err := p.ReadGroup(ctx, a.service)
	if err != nil {
		return errors.Wrapf(err, "read record of group %s", a.service)
	}
	p.mu.Lock()
	resume := rec.Stage == Opening && rec.Holder != "" && rec.Holder == p.serviceState(a.service).ownAttempt
	p.mu.Unlock()
	if resume {
		a.record, a.version = rec, version
		return nil
	}
	if wait := p.takeoverDelay(a.service, rec, newestTerm); wait > 0 {
		p.pause(ctx, wait)
		return errors.Wrapf(ErrOpening, "group %s, term %d by instance %s", a.service, rec.Term, rec.Instance)
	}
	return a.claimTerm(ctx, rec, version)
}

// takeoverDelay returns how long to wait before the record of another attempt may
// be superseded, but at most Times.RetryInterval. It is not positive if no wait is
// needed.
func (p *Promoter) takeoverDelay(service identifier.ServiceName, rec GroupRecord, newestTerm identifier.Term) time.Duration {
	limit := orDefault(p.Times.TakeoverAge, 5*time.Second)
	if rec.Stage != Opening {
		limit = unseenTermGrace
	}
	if rec.Stage != Opening && rec.Term <= newestTerm || rec.Stage == Opening && rec.Instance == p.Instance {
		return 0 // An instance runs one attempt at a time, so its earlier attempt has ended.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(service)
	if state.observed.holder != rec.Holder || state.observed.stage != rec.Stage {
		state.observed = observedRecord{holder: rec.Holder, stage: rec.Stage, since: p.now()}
	}
	age := p.now().Sub(state.observed.since)
	if rec.Stage == Opening && !rec.Started.IsZero() {
		age = max(age, time.Since(rec.Started))
	}
	// The limit on the wait lets the next run observe that the other attempt is complete.
	return min(limit-age, orDefault(p.Times.RetryInterval, 500*time.Millisecond))
}

// claimTerm writes a record of the next term with a new attempt id.
func (a *attempt) claimTerm(ctx context.Context, rec GroupRecord, version uint64) error {
	p := a.p
	g := p.Group(a.service)
	primary, newest, ok := g.Primary()
	term := max(rec.Term, newest)
	for _, st := range g.Statuses() {
		term = max(term, st.Promised)
	}
	next := GroupRecord{
		Term: term + 1, Stage: Opening, Primary: rec.Primary, Holder: p.newAttemptID(),
		Instance: p.Instance, Started: time.Now(), Members: a.record.Members,
	}
	switch {
	case version == 0 && ok:
		// No attempt has opened a term yet, so the initial primary is the only one.
		next.Primary, next.Previous = primary, primary
	case rec.Stage == Open:
		next.Previous = rec.Primary
	}
	// The update may have taken effect even if its answer is lost. A later run
	// then finds its own attempt in the record and resumes it.
	p.mu.Lock()
	p.serviceState(a.service).ownAttempt = next.Holder
	p.mu.Unlock()
	newVersion, err := a.writeRecord(ctx, next, version)
	if err != nil {
		return err
	}
	a.record, a.version = next, newVersion
	return nil
}

// writeRecord updates the record if it still has the given version, and returns
// the new version. An update that returns an error may have taken effect, so the
// record is read back and compared by attempt id and stage.
func (a *attempt) writeRecord(ctx context.Context, next GroupRecord, version uint64) (uint64, error) {
	p := a.p
	v, err := p.UpdateGroup(ctx, a.service, next, version)
	if err == nil {
		return v, nil
	}
	rec, v, readErr := p.ReadGroup(ctx, a.service)
	if readErr == nil && rec.Holder == next.Holder && rec.Stage == next.Stage {
		return v, nil
	}
	return 0, errors.Wrapf(err, "update record of group %s to term %d", a.service, next.Term)
}

func (p *Promoter) newAttemptID() string {
	if p.NewAttemptID != nil {
		return p.NewAttemptID()
	}
	return string(p.Instance) + "-" + rand.Text()
}

// endPhase returns the duration of the current phase and starts the next one.
func (a *attempt) endPhase() time.Duration {
	now := a.p.now()
	duration := now.Sub(a.phaseStart)
	a.phaseStart = now
	return duration
}

func (a *attempt) reportStep(step Step) {
	a.p.reportEvent(Event{Service: a.service, Term: a.record.Term, Step: step, Reason: a.reason, Primary: a.record.Primary, Gap: a.gap})
}
