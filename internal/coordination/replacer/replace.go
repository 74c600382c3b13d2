package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// replacePrimary replaces the primary of the service and logs the outcome.
// draining is the primary if it drains and can step down, and nil if it has
// failed.
func (r *Replacer) replacePrimary(ctx context.Context, service identifier.ServiceName, w *serviceWatch, term identifier.Term, draining *cataloger.BackendServer) {
	started := time.Now()
	var steps stepTimer
	steps.begin("lease")
	l, err := r.acquireLease(ctx, service, w, term)
	if err == nil {
		err = r.promoteSuccessor(ctx, service, l, draining, &steps)
	}
	steps.begin("")
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
		w.pausedUntil = time.Now().Add(retryDelay)
	} else {
		w.silentSince = time.Time{}
	}
	r.Logger.WithLevel(level).Err(err).Str("event", "replacement").Str("service", string(service)).Uint64("term", uint64(term)).
		Uint64("token", l.Revision).Bool("planned", draining != nil).Dur("took_ms", time.Since(started)).
		Func(steps.addDurations).Send()
	if r.Observe == nil {
		return
	}
	for _, s := range steps.steps {
		r.Observe(s.name, s.duration)
	}
}

// acquireLease acquires the lease of the service. It returns [ErrLeaseTaken]
// while another instance replaces the primary.
func (r *Replacer) acquireLease(ctx context.Context, service identifier.ServiceName, w *serviceWatch, term identifier.Term) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l, err := r.ReadLease(ctx, service)
	if err != nil && !errors.Is(err, ErrNoLease) {
		return Lease{}, err
	}
	if l.Revision != w.lease.Revision || w.leaseSeenAt.IsZero() {
		w.lease, w.leaseSeenAt = l, time.Now()
	}
	if !l.isAvailable(r.Self, term, time.Since(w.leaseSeenAt)) {
		return Lease{}, errors.Wrapf(ErrLeaseTaken, "holder %s", l.Holder)
	}
	l, err = r.WriteLease(ctx, service, Lease{Holder: r.Self, Term: term, Revision: l.Revision})
	if err == nil {
		w.lease, w.leaseSeenAt = l, time.Now()
	}
	return l, err
}

// promoteSuccessor promotes the most advanced candidate with the token of the
// lease and waits until it leads.
func (r *Replacer) promoteSuccessor(ctx context.Context, service identifier.ServiceName, l Lease, draining *cataloger.BackendServer, steps *stepTimer) error {
	steps.begin("positions")
	c := r.Catalog()
	hasAllCommits := func(candidates []Candidate) bool {
		return includesAcknowledgedCommits(candidates, c.Servers[service], c.Configuration.Services[service].SyncReplicas)
	}
	candidates := r.collectCandidates(c.Servers[service], draining, hasAllCommits)
	for _, candidate := range candidates {
		if draining == nil && candidate.Member.Leads && r.Confirm(candidate.Server) == nil {
			return errors.Wrapf(errPrimaryLeads, "server %s", candidate.Server.ID)
		}
	}
	next, ok := ChooseSuccessor(candidates)
	if !ok {
		return errNoCandidate
	}
	if draining == nil && !hasAllCommits(candidates) {
		return errors.Wrapf(errCommitsUnknown, "%d of %d servers answered", len(candidates), len(c.Servers[service]))
	}
	if draining != nil {
		steps.begin("hand_over")
		if err := r.handOver(ctx, service, l, *draining, next.Server); err != nil {
			return err
		}
	}
	steps.begin("promotion")
	if err := r.promote(ctx, service, next.Server.ID, l); err != nil {
		return err
	}
	steps.begin("lead")
	return r.awaitLeadership(ctx, next.Server)
}

// collectCandidates queries all servers but the draining one for their log
// positions. If all but one have answered and hold every acknowledged commit, it
// waits at most [lastAnswerTimeout] for the last one, which may be the failed
// primary.
func (r *Replacer) collectCandidates(servers []cataloger.BackendServer, draining *cataloger.BackendServer, hasAllCommits func([]Candidate) bool) []Candidate {
	answers := make(chan *Candidate, len(servers))
	pending := 0
	for _, b := range servers {
		if draining != nil && b.ID == draining.ID {
			continue
		}
		pending++
		go func() {
			m, err := r.Status(b)
			if err != nil {
				r.Logger.Info().Str("event", "candidate_silent").Str("server", string(b.ID)).Err(err).Send()
				answers <- nil
				return
			}
			answers <- &Candidate{b, m}
		}()
	}
	var candidates []Candidate
	var timeout <-chan time.Time
	for ; pending > 0; pending-- {
		if pending == 1 && len(candidates) > 0 && draining == nil && hasAllCommits(candidates) {
			timeout = time.After(lastAnswerTimeout)
		}
		select {
		case c := <-answers:
			if c != nil {
				candidates = append(candidates, *c)
			}
		case <-timeout:
			return candidates
		}
	}
	return candidates
}

// handOver makes the draining primary step down and waits until the successor
// has received its whole log. Because the service has no primary in between, it
// first verifies that promotions are answered by promoting the draining primary
// itself.
func (r *Replacer) handOver(ctx context.Context, service identifier.ServiceName, l Lease, draining, next cataloger.BackendServer) error {
	if err := r.promote(ctx, service, draining.ID, l); err != nil {
		return err
	}
	_, term, _ := r.LastLed(service)
	final, err := r.StepDown(draining, term+1)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(catchUpTimeout)
	for time.Now().Before(deadline) {
		m, err := r.Status(next)
		if err == nil && comparePositions(m.Received, final.Received) >= 0 {
			return nil
		}
		sleep(ctx, catchUpPollInterval)
	}
	r.Logger.Warn().Str("event", "successor_behind").Str("server", string(next.ID)).Err(errSuccessorBehind).Send()
	return r.promote(ctx, service, draining.ID, l)
}

// promote repeats the promotion until it is answered, at most
// [maxPromoteAttempts] times. Repeating it with the same token is safe.
func (r *Replacer) promote(ctx context.Context, service identifier.ServiceName, id identifier.BackendServerID, l Lease) error {
	var err error
	for range maxPromoteAttempts {
		callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
		err = r.Promote(callCtx, service, id, l)
		cancel()
		if err == nil || errors.Is(err, ErrPromotionRefused) {
			return err
		}
		sleep(ctx, promoteRetryDelay)
	}
	return err
}

// awaitLeadership waits until the promoted server answers that it leads.
func (r *Replacer) awaitLeadership(ctx context.Context, b cataloger.BackendServer) error {
	deadline := time.Now().Add(leadershipTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r.Confirm(b) == nil {
			return nil
		}
		sleep(ctx, leadershipPollInterval)
	}
	return errors.Wrapf(errNoCandidate, "server %s does not lead after its promotion", b.ID)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
