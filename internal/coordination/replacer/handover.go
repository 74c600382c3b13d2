package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// handOver makes the draining primary step down and waits until the successor
// has received its whole log. Because the service has no primary in between, it
// first verifies that the successor follows and, where an unanswered call can do no
// harm, that promotions are answered. If an earlier promotion of the draining primary
// may still be executed, it waits until no instance uses that one any more. If
// the successor falls behind after all, the draining primary is promoted again,
// so that no acknowledged commit is lost; the error is then [errSuccessorBehind].
func (r *Replacer) handOver(ctx context.Context, p *replacement, next cataloger.BackendServer) error {
	draining := *p.draining
	if r.TokensChecked && r.allConfirm(ctx, p) {
		if err := r.probePromotions(ctx, p, draining); err != nil {
			return err
		}
	} else if p.open.includes(draining.ID, r.Clock()) {
		if err := r.awaitFence(ctx, p); err != nil {
			return err
		}
	}
	current, err := r.Status(draining)
	if err != nil {
		return err
	}
	if !r.awaitPosition(ctx, next, current.Received) {
		return errors.Wrapf(errSuccessorBehind, "server %s, before the step-down", next.ID)
	}
	_, term, _ := r.LastLed(p.service)
	final, err := r.StepDown(draining, max(term, current.Term)+1)
	if err != nil {
		return err
	}
	if final.Leads {
		return errors.Wrapf(errPrimaryLeads, "server %s after its step-down", draining.ID)
	}
	if r.awaitPosition(ctx, next, final.Received) {
		return nil
	}
	err = errors.Wrapf(errSuccessorBehind, "server %s", next.ID)
	if restoreErr := r.promoteAndGrant(ctx, p, draining); restoreErr != nil {
		return errors.Wrap(restoreErr, err.Error())
	}
	p.reinstated = true
	return err
}

// allConfirm reports whether every instance that may hold a permit has confirmed the
// announcement.
func (r *Replacer) allConfirm(ctx context.Context, p *replacement) bool {
	members, complete := r.instancesToRevoke(ctx)
	return complete && len(r.revoke(ctx, p, members)) == 0
}

// probePromotions promotes the draining primary, which changes nothing while it
// leads. The promotion takes effect some time after its answer, though, so that
// the draining primary may lead again after its step-down: every instance must
// have confirmed that it does not use it any more. An unanswered request may be
// executed late and would replace the successor that any instance has promoted
// meanwhile, unless the platform refuses it for its token.
func (r *Replacer) probePromotions(ctx context.Context, p *replacement, draining cataloger.BackendServer) error {
	ctx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	err := r.Promote(ctx, p.service, draining.ID, p.record)
	if errors.Is(err, ErrPromotionUnknown) {
		r.addUnanswered(p, draining.ID)
		return errors.Wrap(errProbeUnanswered, err.Error())
	}
	return err
}

// awaitPosition waits until the server has received the log up to the position,
// and reports false if it has not after [catchUpTimeout] or when the context
// ends.
func (r *Replacer) awaitPosition(ctx context.Context, b cataloger.BackendServer, position identifier.Position) bool {
	deadline := time.Now().Add(catchUpTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		m, err := r.Status(b)
		if err == nil && m.Received.Compare(position) >= 0 {
			return true
		}
		sleep(ctx, catchUpPollInterval)
	}
	return false
}
