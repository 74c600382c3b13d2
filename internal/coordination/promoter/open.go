package promoter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// maxPromoteTries limits how often an attempt sends the promotion, whose answer
// may be lost, to the only member that it may promote.
const maxPromoteTries = 3

// maxMarkOpenTries limits how often an attempt tries to mark its term as open.
const maxMarkOpenTries = 4

// open performs the steps after the decision.
func (a *attempt) open(ctx context.Context) error {
	answers := map[identifier.BackendServerID]tracker.MemberStatus{}
	if a.reason == Leave {
		if err := a.handOver(ctx, answers); err != nil {
			return err
		}
	}
	if err := a.fence(ctx, answers); err != nil {
		return err
	}
	chosen, err := a.chooseCandidate(answers)
	if err != nil {
		return err
	}
	if err := a.promote(ctx, chosen); err != nil {
		return err
	}
	a.record.Primary = chosen
	a.gap.Opening = a.endPhase()
	a.reportStep(StepPromoted)
	if a.p.OnTermOpened != nil {
		a.p.OnTermOpened(a.service, a.record.Term)
	}
	a.follow(ctx, chosen, answers)
	a.reportStep(StepFollowed)
	if err := a.markOpen(ctx); err != nil {
		return err
	}
	a.reportStep(StepOpened)
	if a.reason == Leave && a.p.isDraining(chosen) {
		return errors.Wrapf(ErrNoCandidate, "group %s, term %d: no replica has the whole log of %s", a.service, a.record.Term, chosen)
	}
	return nil
}

// markOpen marks the term as open in the group's record. A record that remains in
// stage Opening is safe, but delays the next change of primary needlessly.
func (a *attempt) markOpen(ctx context.Context) error {
	a.record.Stage = Open
	var err error
	for range maxMarkOpenTries {
		if _, err = a.writeRecord(ctx, a.record, a.version); err == nil || ctx.Err() != nil {
			break
		}
		a.p.pause(ctx, orDefault(a.p.Times.RetryInterval, 500*time.Millisecond))
	}
	return err
}

// fence obtains promises of the term from the members, and waits until no write
// right of an older term can be valid any more. It adds the statuses of the
// members that have promised to answers.
func (a *attempt) fence(ctx context.Context, answers map[identifier.BackendServerID]tracker.MemberStatus) error {
	p := a.p
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := a.fenceAll(ctx, answers)
	timeout := p.after(orDefault(p.Times.FenceTimeout, 3*time.Second))
	var rightsEnded <-chan time.Time // Nil until a majority has promised the term.
	pending := len(a.record.Members) - len(answers)
	for {
		if rightsEnded == nil && a.majorityPromised(answers) {
			a.gap.Fencing = a.endPhase()
			a.reportStep(StepFenced)
			rightsEnded = p.after(p.rightsWait())
		}
		if rightsEnded != nil && a.olderTermsFenced(answers) {
			break
		}
		if rightsEnded == nil && pending == 0 {
			return errors.Wrapf(ErrNoMajority, "group %s: %d of %d members promised term %d", a.service, len(answers), len(a.record.Members), a.record.Term)
		}
		select {
		case r := <-results:
			pending--
			if errors.Is(r.err, ErrRefused) {
				a.forbidResume()
				return errors.Wrapf(ErrSuperseded, "%v", r.err)
			}
			if r.err == nil {
				answers[r.server] = r.status
			}
			continue
		case <-rightsEnded:
		case <-timeout:
			if rightsEnded != nil {
				timeout = nil
				continue
			}
			return errors.Wrapf(ErrNoMajority, "group %s: %d of %d members promised term %d", a.service, len(answers), len(a.record.Members), a.record.Term)
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
		break
	}
	a.gap.Waiting = a.endPhase()
	a.reportStep(StepWaited)
	return nil
}

// fenceResult is a member's answer to a fence command.
type fenceResult struct {
	server identifier.BackendServerID
	status tracker.MemberStatus
	err    error
}

// fenceAll sends the fence command to all members without an answer
// concurrently. The channel receives one result for each of them.
func (a *attempt) fenceAll(ctx context.Context, answers map[identifier.BackendServerID]tracker.MemberStatus) <-chan fenceResult {
	results := make(chan fenceResult, len(a.record.Members))
	for _, server := range a.record.Members {
		if _, done := answers[server]; done {
			continue
		}
		a.p.running.Add(1)
		go func() {
			defer a.p.running.Done()
			st, err := a.p.Fence(ctx, a.service, server, a.record.Term, a.record.Holder)
			results <- fenceResult{server: server, status: st, err: err}
		}()
	}
	return results
}

// majorityPromised reports whether a majority of the members has promised the
// term. A member without a log does not count, because it may have lost durable
// writes and an earlier promise together with its data.
func (a *attempt) majorityPromised(answers map[identifier.BackendServerID]tracker.MemberStatus) bool {
	n := 0
	for _, st := range answers {
		if st.Term > 0 {
			n++
		}
	}
	return n >= len(a.record.Members)/2+1
}

// olderTermsFenced reports whether no primary of an older term can commit any
// more, because the only possible one, or every member, has promised the new
// term. After a hand-over the successor must have promised it too.
func (a *attempt) olderTermsFenced(answers map[identifier.BackendServerID]tracker.MemberStatus) bool {
	_, successorPromised := answers[a.successor]
	if _, ok := answers[a.record.Previous]; ok && a.record.Previous != "" && (successorPromised || a.successor == "") {
		return true
	}
	return len(answers) == len(a.record.Members)
}

// chooseCandidate returns the member with the longest log of the newest term. If
// several have it, it prefers a member that is not draining, then the previous
// primary. A draining member that alone has the longest log is chosen, because
// the others lack writes that may have been acknowledged; a later attempt hands
// its log over.
func (a *attempt) chooseCandidate(answers map[identifier.BackendServerID]tracker.MemberStatus) (identifier.BackendServerID, error) {
	var best tracker.MemberStatus
	for _, server := range a.record.Members {
		st, ok := answers[server]
		if !ok || st.Term == 0 {
			continue
		}
		if best.Term == 0 || a.isBetterCandidate(st, best) {
			best = st
		}
	}
	if best.Term == 0 {
		return "", errors.Wrapf(ErrNoCandidate, "group %s, term %d: none of %d members has a log", a.service, a.record.Term, len(answers))
	}
	return best.Server, nil
}

// isBetterCandidate reports whether x is to be preferred to y as primary, in the
// order that chooseCandidate documents.
func (a *attempt) isBetterCandidate(x, y tracker.MemberStatus) bool {
	endX, endY := x.LogEnd(), y.LogEnd()
	switch {
	case endX.Term != endY.Term:
		return endX.Term > endY.Term
	case endX.Offset != endY.Offset:
		return endX.Offset > endY.Offset
	case a.p.isDraining(x.Server) != a.p.isDraining(y.Server):
		return a.p.isDraining(y.Server)
	}
	return x.Server == a.record.Previous
}

// promote makes the chosen member primary. Once it has sent the command the
// attempt must promote no other member, because the command may have taken effect
// although its answer was lost.
func (a *attempt) promote(ctx context.Context, server identifier.BackendServerID) error {
	p := a.p
	a.forbidResume()
	var err error
	for range maxPromoteTries {
		var st tracker.MemberStatus
		if st, err = p.Promote(ctx, a.service, server, a.record.Term, a.record.Holder); err != nil {
			st, _ = p.Status(ctx, a.service, server)
		}
		if st.Role == tracker.Primary && st.Term == a.record.Term {
			return nil
		}
		if errors.Is(err, ErrRefused) || ctx.Err() != nil {
			break
		}
	}
	return errors.Wrapf(ErrPromotion, "group %s, member %s, term %d: %v", a.service, server, a.record.Term, err)
}

// forbidResume prevents later runs of this instance from resuming the attempt.
func (a *attempt) forbidResume() {
	a.p.mu.Lock()
	defer a.p.mu.Unlock()
	a.p.serviceState(a.service).ownAttempt = ""
}

// follow makes the members that have promised the term follow the new primary. The
// others are repaired when they answer again.
func (a *attempt) follow(ctx context.Context, primary identifier.BackendServerID, answers map[identifier.BackendServerID]tracker.MemberStatus) {
	address := a.p.addressOf(a.service, primary)
	var commands sync.WaitGroup
	for server := range answers {
		if server == primary {
			continue
		}
		commands.Go(func() { _, _ = a.p.Follow(ctx, a.service, server, a.record.Term, address) })
	}
	commands.Wait()
}

// handOver fences a draining primary before the other members and waits until a
// replica has its whole log, because the replicas stop receiving its log once they
// have promised the new term. If none catches up, the draining primary remains
// primary in the new term.
func (a *attempt) handOver(ctx context.Context, answers map[identifier.BackendServerID]tracker.MemberStatus) error {
	p := a.p
	draining := a.record.Previous
	if draining == "" {
		return nil
	}
	st, err := p.Fence(ctx, a.service, draining, a.record.Term, a.record.Holder)
	if errors.Is(err, ErrRefused) {
		a.forbidResume()
		return errors.Wrapf(ErrSuperseded, "%v", err)
	}
	if err != nil {
		return nil //nolint:nilerr // A draining primary that does not answer is replaced like a failed one.
	}
	answers[draining] = st
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.Times.CatchUpTimeout, 2*time.Second))
	defer cancel()
	for ctx.Err() == nil {
		for _, server := range a.record.Members {
			if server == draining || p.isDraining(server) {
				continue
			}
			if replica, err := p.Status(ctx, a.service, server); err == nil && replica.LogEnd() == st.LogEnd() {
				a.successor = server
				return nil
			}
		}
		p.pause(ctx, 10*time.Millisecond)
	}
	return nil
}
