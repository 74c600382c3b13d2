package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// promoteAndGrant promotes the server, waits until it leads, and grants its use to
// all instances. The server is written into the record first, so that an instance
// that takes over continues with the same one.
func (r *Replacer) promoteAndGrant(ctx context.Context, p *replacement, b cataloger.BackendServer) error {
	if err := r.checkOpenPromotions(p, b.ID); err != nil {
		return err
	}
	p.steps.begin("promotion")
	otherRequested := p.requested && p.record.Successor != b.ID
	next, err := p.record.ChooseSuccessor(r.Self, b.ID)
	if err != nil {
		return err
	}
	if err := r.write(ctx, p, next.RaiseToken(p.refusals.gap())); err != nil {
		return err
	}
	p.requested = true
	r.Announce(p.service, p.record)
	err = r.promote(ctx, p, b.ID)
	r.observePromotion(p, b, err)
	if err != nil {
		return err
	}
	p.steps.begin("lead")
	m, err := r.awaitLeadership(ctx, b, r.leastTerm(p, b, otherRequested))
	if err != nil {
		return err
	}
	p.steps.begin("grant")
	finished, err := p.record.Finish(r.Self, b.ID, m.Term, termStarts(p.record, m))
	if err != nil {
		return err
	}
	r.grant(ctx, p, finished)
	return nil
}

// termStarts returns the starts of the record with that of the term in which the promoted
// server leads. No instance uses it yet, so that its log has no commit of the term; it has
// one only if an earlier holder has granted its use, and the start is not known then.
func termStarts(l cataloger.Leadership, m requester.ServerStatus) cataloger.TermStarts {
	if m.Term <= l.Term || m.Received.Term >= m.Term {
		return l.TermStarts
	}
	return l.TermStarts.With(m.Term, m.Received)
}

// grant ends the replacement. The peers are told at once; the store gets the
// record as soon as it answers, also from a later check.
func (r *Replacer) grant(ctx context.Context, p *replacement, l cataloger.Leadership) {
	l.OpenPromotions = p.open.set(r.Clock())
	r.Adopt(p.service, l)
	r.Announce(p.service, l)
	p.record = l
	if err := r.write(ctx, p, l); err != nil {
		r.Logger.Warn().Str("event", "grant_not_written").Str("service", string(p.service)).Err(err).Send()
	}
}

// endReplacement restores the record from before a replacement that failed, so
// that the old primary may be used again. If a promotion may have been executed,
// the record stays, and a later check resumes the replacement.
func (r *Replacer) endReplacement(ctx context.Context, p *replacement, err error) {
	if err == nil || p.requested || p.reinstated || errors.Is(err, ErrRecordChanged) {
		return
	}
	givenUp, err := p.record.GiveUp(r.Self)
	if err != nil {
		r.Logger.Warn().Str("event", "replacement_not_given_up").Str("service", string(p.service)).Err(err).Send()
		return
	}
	r.grant(ctx, p, givenUp)
}

// promote repeats the promotion until it is answered, at most
// [maxPromoteAttempts] times. Repeating it with the same token is safe. It
// requests nothing after [promotionWindow], when another instance may take over,
// or once another instance has changed the record.
func (r *Replacer) promote(ctx context.Context, p *replacement, id identifier.BackendServerID) error {
	err := errWindowPassed
	for range maxPromoteAttempts {
		if !r.mayPromote(p) {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
		err = r.Promote(callCtx, p.service, id, p.record)
		cancel()
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrPromotionRefused) {
			return err
		}
		r.addUnanswered(p, id)
		sleep(ctx, promoteRetryDelay)
	}
	return err
}

// mayPromote reports whether this instance is still the only one that may request
// a promotion under its record.
func (r *Replacer) mayPromote(p *replacement) bool {
	unchanged := r.Record(p.service).Revision == p.record.Revision
	sameEra := r.Era() == p.record.Revision.Era
	return unchanged && sameEra && r.Clock()-p.written <= promotionWindow
}

// leastTerm returns the lowest term in which the server leads once its promotion has
// taken effect. The present primary stays in its term, and may be promoted again. If
// a promotion of another server was requested as well, that one may be the primary
// now, and the old one may still lead on in its earlier term.
func (r *Replacer) leastTerm(p *replacement, b cataloger.BackendServer, otherRequested bool) identifier.Term {
	old, next, known := r.oldPrimary(p)
	if known && old.ID == b.ID && !otherRequested {
		return 0
	}
	return next
}

// awaitLeadership waits until the promoted server answers that it leads in the term or
// a later one, and returns its status. An earlier term counts once the promotion must have
// taken effect: the server was the primary already.
func (r *Replacer) awaitLeadership(ctx context.Context, b cataloger.BackendServer, least identifier.Term) (requester.ServerStatus, error) {
	deadline := time.Now().Add(leadershipTimeout)
	for ctx.Err() == nil {
		m, leads := r.leaderStatus(b)
		isOver := !time.Now().Before(deadline)
		if leads && (m.Term >= least || isOver) {
			return m, nil
		}
		if isOver {
			break
		}
		sleep(ctx, leadershipPollInterval)
	}
	return requester.ServerStatus{}, errors.Wrapf(errNoCandidate, "server %s does not lead after its promotion", b.ID)
}

// leaderStatus returns the status of a server that leads, and false if it does not lead.
func (r *Replacer) leaderStatus(b cataloger.BackendServer) (requester.ServerStatus, bool) {
	if r.Confirm(b) != nil {
		return requester.ServerStatus{}, false
	}
	m, err := r.Status(b)
	return m, err == nil && m.Leads
}
