package replacer

import (
	"context"
	"maps"
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
// down, or every permit that was granted before the announcement has expired.
func (r *Replacer) awaitFence(ctx context.Context, p *replacement) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unconfirmed, complete := r.instancesToRevoke(ctx)
	total := len(unconfirmed)
	end := p.acked + r.Validity.Max
	var steppedDown chan struct{}
	for round := 0; ; round++ {
		started := time.Now()
		unconfirmed = r.revoke(ctx, p, unconfirmed)
		if complete && len(unconfirmed) == 0 {
			return nil
		}
		if complete && r.areContactsEnded(unconfirmed) {
			end = min(end, max(p.acked+r.Validity.Proof, r.Clock()+r.Validity.Contact))
		}
		if round == 0 {
			r.Logger.Warn().Str("event", "replacement_waits").Str("service", string(p.service)).Uint64("token", p.record.Revision).
				Int("instances", total).Int("unconfirmed", len(unconfirmed)).Bool("members_read", complete).Send()
			steppedDown = r.stepDownPrimary(ctx, p, unconfirmed)
		}
		expired := time.NewTimer(end + expiryMargin - r.Clock())
		retry := time.NewTimer(revokeInterval - time.Since(started))
		done, err := awaitNextRound(ctx, retry, expired, steppedDown)
		if done || err != nil {
			return err
		}
	}
}

// awaitNextRound waits for the next round and reports whether none is needed.
func awaitNextRound(ctx context.Context, retry, expired *time.Timer, steppedDown <-chan struct{}) (done bool, err error) {
	defer retry.Stop()
	defer expired.Stop()
	select {
	case <-retry.C:
		return false, nil
	case <-steppedDown:
		return true, nil
	case <-expired.C:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// areContactsEnded reports whether the unconfirmed instances get no contact any
// more that leaves out the announcement: they are of one data centre, and every
// instance elsewhere has confirmed. An instance that has started lately does not
// know the instances that were removed before, which others may still ask.
func (r *Replacer) areContactsEnded(unconfirmed map[identifier.InstanceID]cataloger.Instance) bool {
	if r.Clock()-r.startedAt <= r.Validity.Max {
		return false
	}
	dataCentres := map[identifier.DataCentre]bool{}
	for _, m := range unconfirmed {
		dataCentres[m.DataCentre] = true
	}
	return len(dataCentres) <= 1
}

// instancesToRevoke returns the instances that may hold a permit: those that are
// registered after the announcement and those that this instance knew before.
// It reports false if the registrations could not be read.
func (r *Replacer) instancesToRevoke(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	registered, err := r.Members(ctx)
	if err != nil {
		r.Logger.Warn().Str("event", "members_not_read").Err(err).Send()
	}
	all := maps.Clone(r.Catalog().Instances)
	if all == nil {
		all = map[identifier.InstanceID]cataloger.Instance{}
	}
	maps.Copy(all, registered)
	delete(all, r.Self)
	return all, err == nil
}

// revoke asks the instances to confirm the announcement and returns those that
// have not.
func (r *Replacer) revoke(ctx context.Context, p *replacement, instances map[identifier.InstanceID]cataloger.Instance) map[identifier.InstanceID]cataloger.Instance {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	silent := make(chan identifier.InstanceID, len(instances))
	for id := range instances {
		go func() {
			if r.Revoke(ctx, id, p.service, p.record) {
				id = ""
			}
			silent <- id
		}()
	}
	unconfirmed := map[identifier.InstanceID]cataloger.Instance{}
	for range instances {
		if id := <-silent; id != "" {
			unconfirmed[id] = instances[id]
		}
	}
	return unconfirmed
}

// stepDownPrimary makes this instance and every instance that has confirmed try
// to step down the old primary. The returned channel is closed when the old
// primary has confirmed; it is nil if the old primary is not known.
func (r *Replacer) stepDownPrimary(ctx context.Context, p *replacement, unconfirmed map[identifier.InstanceID]cataloger.Instance) chan struct{} {
	b, term, known := r.oldPrimary(p)
	if !known {
		return nil
	}
	steppedDown := make(chan bool, 1)
	try := func(stepDown func() bool) {
		if stepDown() {
			select {
			case steppedDown <- true:
			default:
			}
		}
	}
	go try(func() bool { return r.stepDownHere(b, term) })
	for id := range r.Catalog().Instances {
		if _, silent := unconfirmed[id]; id != r.Self && !silent {
			go try(func() bool { return r.StepDownVia(ctx, id, b, term) })
		}
	}
	confirmed := make(chan struct{})
	go func() {
		select {
		case <-steppedDown:
			close(confirmed)
		case <-ctx.Done():
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

// stepDownHere steps the server down from this instance and reports whether it
// confirmed.
func (r *Replacer) stepDownHere(b cataloger.BackendServer, term identifier.Term) bool {
	m, err := r.StepDown(b, term)
	return err == nil && !m.Leads
}
