package replacer

import (
	"context"
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	revokeTimeout = 250 * time.Millisecond
	// revokeInterval is the time between two requests to an instance that has
	// not confirmed.
	revokeInterval = 300 * time.Millisecond
	// expiryMargin is added to the validity of permits. It covers the difference
	// between the clocks' rates and the delay of timers.
	expiryMargin = 100 * time.Millisecond
)

// awaitFence returns when no instance may use the old primary any more: every
// other instance has confirmed the announcement, the old primary has stepped
// down, or every permit that was granted before the announcement has expired. A
// step-down counts only if no unanswered promotion may make the old primary lead again.
func (r *Replacer) awaitFence(ctx context.Context, p *replacement) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expiry := time.NewTimer(p.acked + r.Validity + expiryMargin - r.Clock())
	defer expiry.Stop()
	unconfirmed, complete := r.instancesToRevoke(ctx)
	total := len(unconfirmed)
	var steppedDown chan struct{}
	for round := 0; ; round++ {
		started := time.Now()
		unconfirmed = r.revoke(ctx, p, unconfirmed)
		if complete && len(unconfirmed) == 0 {
			return nil
		}
		if round == 0 {
			r.Logger.Warn().Str("event", "replacement_waits").Str("service", string(p.service)).Uint64("token", p.record.Token()).
				Int("instances", total).Int("unconfirmed", len(unconfirmed)).Bool("members_known", complete).Send()
			steppedDown = r.stepDownPrimary(p)
		}
		retry := time.NewTimer(revokeInterval - time.Since(started))
		select {
		case <-retry.C:
		case <-steppedDown:
			retry.Stop()
			return nil
		case <-expiry.C:
			retry.Stop()
			return nil
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		}
	}
}

// instancesToRevoke returns the instances that may hold a permit: those that are
// registered after the announcement, those that this instance knew before, and those
// whose registration was removed so recently that their permits are still valid. It
// reports false if there may be others: the registrations could not be read, or this
// instance has started too recently to know of all removals.
func (r *Replacer) instancesToRevoke(ctx context.Context) ([]identifier.InstanceID, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	registered, err := r.Members(ctx)
	if err != nil {
		r.Logger.Warn().Str("event", "members_not_read").Err(err).Send()
	}
	r.observeInstances()
	all := maps.Clone(r.Catalog().Instances)
	maps.Copy(all, registered)
	removed, knowsRemovals := r.recentlyRemoved()
	for _, id := range removed {
		all[id] = cataloger.Instance{ID: id}
	}
	delete(all, r.Self)
	return slices.Collect(maps.Keys(all)), err == nil && knowsRemovals
}

// revoke asks the instances to confirm the announcement and returns those that
// have not.
func (r *Replacer) revoke(ctx context.Context, p *replacement, instances []identifier.InstanceID) []identifier.InstanceID {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	silent := make(chan identifier.InstanceID, len(instances))
	for _, id := range instances {
		go func() {
			if r.Revoke(ctx, id, p.service, p.record) {
				id = ""
			}
			silent <- id
		}()
	}
	var unconfirmed []identifier.InstanceID
	for range instances {
		if id := <-silent; id != "" {
			unconfirmed = append(unconfirmed, id)
		}
	}
	return unconfirmed
}

// stepDownPrimary tries to step down the old primary. The returned channel is
// closed when the old primary has confirmed; it is nil if the old primary is not
// known or may lead again.
func (r *Replacer) stepDownPrimary(p *replacement) chan struct{} {
	b, term, known := r.oldPrimary(p)
	if !known || p.open.includes(b.ID, r.Clock()) {
		return nil
	}
	confirmed := make(chan struct{})
	go func() {
		m, err := r.StepDown(b, term)
		if err == nil && !m.Leads {
			close(confirmed)
		}
	}()
	return confirmed
}

// oldPrimary returns the server that leads the service and a term above its own.
func (r *Replacer) oldPrimary(p *replacement) (cataloger.BackendServer, identifier.Term, bool) {
	id, term, _ := r.LastLed(p.service)
	if p.record.Server != "" {
		id = p.record.Server
	}
	b, ok := r.Catalog().Server(p.service, id)
	return b, max(term, p.record.Term) + 1, ok
}
