package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// act replaces the primary and logs the outcome. leaving is the primary if it
// can be asked to step down.
func (r *Replacer) act(ctx context.Context, service identifier.ServiceName, w *watch, term identifier.Term, leaving *cataloger.BackendServer) {
	started := time.Now()
	var p parts
	p.begin("lease")
	l, err := r.take(ctx, service, w, term)
	if err == nil {
		err = r.replace(ctx, service, l, leaving, &p)
	}
	p.begin("")
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
		w.pausedTo = time.Now().Add(afterFailure)
	} else {
		w.failing = time.Time{}
	}
	r.Logger.WithLevel(level).Err(err).Str("event", "replacement").Str("service", string(service)).Uint64("term", uint64(term)).
		Uint64("token", l.Revision).Bool("planned", leaving != nil).Dur("took_ms", time.Since(started)).
		Func(p.explain).Send()
	if r.Observe == nil {
		return
	}
	for _, e := range p.all {
		r.Observe(e.name, e.took)
	}
}

// take takes the lease. It returns [ErrLeaseTaken] while another instance is at
// work.
func (r *Replacer) take(ctx context.Context, service identifier.ServiceName, w *watch, term identifier.Term) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l, err := r.ReadLease(ctx, service)
	if err != nil && !errors.Is(err, ErrNoLease) {
		return Lease{}, err
	}
	if l.Revision != w.lease.Revision || w.leaseAt.IsZero() {
		w.lease, w.leaseAt = l, time.Now()
	}
	if !l.isFree(r.Self, term, time.Since(w.leaseAt)) {
		return Lease{}, errors.Wrapf(ErrLeaseTaken, "holder %s", l.Holder)
	}
	l, err = r.WriteLease(ctx, service, Lease{Holder: r.Self, Term: term, Revision: l.Revision})
	if err == nil {
		w.lease, w.leaseAt = l, time.Now()
	}
	return l, err
}

// replace promotes a successor under the lease and waits until it leads.
func (r *Replacer) replace(ctx context.Context, service identifier.ServiceName, l Lease, leaving *cataloger.BackendServer, p *parts) error {
	p.begin("positions")
	c := r.Catalog()
	complete := func(all []Candidate) bool {
		return isComplete(all, c.Servers[service], c.Configuration.Services[service].SyncReplicas)
	}
	all := r.candidates(c.Servers[service], leaving, complete)
	for _, m := range all {
		if leaving == nil && m.Member.Leads && r.Confirm(m.Server) == nil {
			return errAlive
		}
	}
	next, ok := Choose(all)
	if !ok {
		return errNoCandidate
	}
	if leaving == nil && !complete(all) {
		return errors.Wrapf(errIncomplete, "%d of %d servers answered", len(all), len(c.Servers[service]))
	}
	if leaving != nil {
		p.begin("hand_over")
		if err := r.handOver(ctx, service, l, *leaving, next.Server); err != nil {
			return err
		}
	}
	p.begin("promotion")
	if err := r.promote(ctx, service, next.Server.ID, l); err != nil {
		return err
	}
	p.begin("lead")
	return r.awaitLead(ctx, next.Server)
}

// candidates asks all servers but the leaving one for their positions. When all
// but one have answered, the last one, which may be the lost primary, gets
// lastWait more if it is not needed.
func (r *Replacer) candidates(servers []cataloger.BackendServer, leaving *cataloger.BackendServer, complete func([]Candidate) bool) []Candidate {
	answers := make(chan *Candidate, len(servers))
	open := 0
	for _, b := range servers {
		if leaving != nil && b.ID == leaving.ID {
			continue
		}
		open++
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
	var all []Candidate
	var enough <-chan time.Time
	for ; open > 0; open-- {
		if open == 1 && len(all) > 0 && leaving == nil && complete(all) {
			enough = time.After(lastWait)
		}
		select {
		case c := <-answers:
			if c != nil {
				all = append(all, *c)
			}
		case <-enough:
			return all
		}
	}
	return all
}

// handOver makes the leaving primary step down and waits until the successor
// has received its whole log. It first checks that promotions are answered,
// because the service has no primary in between.
func (r *Replacer) handOver(ctx context.Context, service identifier.ServiceName, l Lease, leaving, next cataloger.BackendServer) error {
	if err := r.promote(ctx, service, leaving.ID, l); err != nil {
		return err
	}
	_, term, _ := r.LastLed(service)
	last, err := r.StepDown(leaving, term+1)
	if err != nil {
		return err
	}
	limit := time.Now().Add(catchUpLimit)
	for time.Now().Before(limit) {
		m, err := r.Status(next)
		if err == nil && compare(m.Received, last.Received) >= 0 {
			return nil
		}
		pause(ctx, catchUpPause)
	}
	r.Logger.Warn().Str("event", "successor_behind").Str("server", string(next.ID)).Err(errBehind).Send()
	return r.promote(ctx, service, leaving.ID, l)
}

// promote makes the call until it is answered. The same call under the same
// token may be made twice.
func (r *Replacer) promote(ctx context.Context, service identifier.ServiceName, id identifier.BackendServerID, l Lease) error {
	var err error
	for range promoteTries {
		call, cancel := context.WithTimeout(ctx, cloudTimeout)
		err = r.Promote(call, service, id, l)
		cancel()
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		pause(ctx, promotePause)
	}
	return err
}

// awaitLead waits until the new primary leads.
func (r *Replacer) awaitLead(ctx context.Context, b cataloger.BackendServer) error {
	limit := time.Now().Add(leadLimit)
	for ctx.Err() == nil && time.Now().Before(limit) {
		if r.Confirm(b) == nil {
			return nil
		}
		pause(ctx, leadPause)
	}
	return errors.Wrapf(errNoCandidate, "server %s does not lead after its promotion", b.ID)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
