package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// replacement is one replacement of a service's primary by this instance.
type replacement struct {
	service  identifier.ServiceName
	draining *cataloger.BackendServer // The primary if it drains and can step down; nil if it has failed.
	// lastLeader is the server that this instance last saw leading the service. It
	// is empty if it has seen none.
	lastLeader identifier.BackendServerID
	members    *memberHistory       // Servers that may have commits, also if no longer registered.
	silentFor  time.Duration        // For which the primary was not reached when the replacement began.
	record     cataloger.Leadership // As last written by this instance.
	written    time.Duration        // Clock before record was written.
	acked      time.Duration        // Clock after the announcement was acknowledged.
	resumed    bool                 // An earlier holder may have requested the promotion of record.Successor.
	// requested is set once a promotion of another server may have been or may
	// be executed. The old primary must not be used again after that.
	requested  bool
	reinstated bool // The draining primary was promoted again.
	open       *openPromotions
	refusals   *tokenRefusals
	steps      stepTimer
}

// replacePrimary replaces the primary of the service and logs the outcome. basis
// is the record under which the replacement was decided. draining is the primary
// if it drains and can step down, and nil if it has failed.
func (r *Replacer) replacePrimary(ctx context.Context, service identifier.ServiceName, w *serviceWatch,
	basis cataloger.Leadership, draining *cataloger.BackendServer,
) {
	started := time.Now()
	p := &replacement{
		service: service, draining: draining, lastLeader: w.lastLeader, members: &w.members, silentFor: w.silentFor(),
		open: &w.open, refusals: &w.refusals,
	}
	p.steps.begin("announce")
	err := r.announce(ctx, p, w, basis)
	if err == nil {
		err = r.replace(ctx, p)
		r.endReplacement(ctx, p, err)
	}
	p.steps.begin("")
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
		w.pausedUntil = time.Now().Add(retryDelay)
	} else {
		w.silentSince = time.Time{}
		if draining == nil {
			w.budget.record(time.Now())
		}
	}
	r.Logger.WithLevel(level).Err(err).Str("event", "replacement").Str("service", string(service)).
		Str("server", string(p.record.Server)).Str("successor", string(p.record.Successor)).Uint64("term", uint64(p.record.Term)).Uint64("token", p.record.Token()).
		Bool("planned", draining != nil).Bool("resumed", p.resumed).Dur("took_ms", time.Since(started)).
		Func(p.steps.addDurations).Send()
	if r.Observe == nil {
		return
	}
	for _, s := range p.steps.steps {
		r.Observe(s.name, s.duration)
	}
}

// announce writes the record that announces the replacement. It returns
// [ErrRecordChanged] while another instance replaces the primary or if another
// has replaced it since the replacement was decided.
func (r *Replacer) announce(ctx context.Context, p *replacement, w *serviceWatch, basis cataloger.Leadership) error {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l, err := r.ReadRecord(readCtx, p.service)
	if err != nil && !errors.Is(err, ErrNoRecord) {
		return err
	}
	known := r.Record(p.service)
	if l.IsReplacing() && !isAvailable(l, r.Self, w.unchangedFor(l)) {
		return errors.Wrapf(ErrRecordChanged, "holder %s", l.Holder)
	}
	if l.Term > known.Term {
		r.Adopt(p.service, l)
	}
	if max(l.Term, known.Term) > basis.Term || known.IsReplacing() != basis.IsReplacing() {
		return errors.Wrapf(ErrRecordChanged, "server %s leads term %d", l.Server, l.Term)
	}
	if known.Term > l.Term || known.IsReplacing() {
		w.open.observe(known, r.Clock(), r.LateLimit)
		if known.IsReplacing() && known.Revision != l.Revision {
			r.observeHolder(w, known, 0)
		}
	}
	// The holder of a lost announcement may have requested a promotion.
	p.requested = known.IsReplacing() && !l.IsReplacing()
	w.open.observe(l, r.Clock(), r.LateLimit)
	if l.IsReplacing() {
		r.observeHolder(w, l, w.unchangedFor(l))
	}
	begin := l.Announce
	if l.IsReplacing() || known.IsReplacing() {
		begin = l.TakeOver
	}
	next, err := begin(r.Self, known)
	if err != nil {
		return err
	}
	p.resumed = next.State() == cataloger.SuccessorChosen
	if err := r.write(ctx, p, next); err != nil {
		return err
	}
	p.acked = r.Clock()
	return nil
}

// write replaces the record in the store, which must still have the revision of
// the given one, and makes this instance observe it.
func (r *Replacer) write(ctx context.Context, p *replacement, next cataloger.Leadership) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written := r.Clock()
	next.OpenPromotions = p.open.set(written)
	l, err := r.WriteRecord(ctx, p.service, next)
	if err != nil {
		return err
	}
	p.record, p.written, p.open.written = l, written, l.Revision
	r.Adopt(p.service, l)
	return nil
}

// replace ends the use of the old primary, promotes the most advanced candidate
// and waits until it leads.
func (r *Replacer) replace(ctx context.Context, p *replacement) error {
	if p.draining == nil {
		p.steps.begin("fence")
		if err := r.awaitFence(ctx, p); err != nil {
			return err
		}
	}
	if p.resumed {
		done, err := r.resume(ctx, p)
		if done {
			return err
		}
	}
	p.steps.begin("positions")
	next, err := r.chooseSuccessor(ctx, p)
	if err != nil {
		return err
	}
	if err := r.checkOpenPromotions(p, next.Server.ID); err != nil {
		return err
	}
	if p.draining != nil {
		p.steps.begin("hand_over")
		if err := r.handOver(ctx, p, next.Server); err != nil {
			return err
		}
	}
	return r.promoteAndGrant(ctx, p, next.Server)
}

// resume continues a replacement whose holder may have requested the promotion
// of a server: that server is promoted unless the promotion is refused or the
// server is gone. It returns false if another server has to be chosen.
func (r *Replacer) resume(ctx context.Context, p *replacement) (done bool, err error) {
	p.requested = true
	server, registered := r.Catalog().Server(p.service, p.record.Successor)
	if !registered {
		return false, nil
	}
	err = r.promoteAndGrant(ctx, p, server)
	if errors.Is(err, ErrPromotionRefused) {
		return false, nil
	}
	return true, err
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
