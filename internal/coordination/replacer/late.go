package replacer

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// openPromotions are the promotions of a service that were not answered, with the
// clock reading until which each may still be executed. An instance counts from the
// moment at which it first knew of a promotion whose holder requested it no more, so
// that no clocks are compared. The zero value is empty.
type openPromotions struct {
	until map[cataloger.OpenPromotion]time.Duration
	// written is the revision of the record that this process wrote last. It knows
	// which promotions under that record were not answered.
	written cataloger.Revision
}

// add records that the promotion may be executed until the clock reading.
func (o *openPromotions) add(p cataloger.OpenPromotion, until time.Duration) {
	if o.until == nil {
		o.until = map[cataloger.OpenPromotion]time.Duration{}
	}
	o.until[p] = max(o.until[p], until)
}

// observe adds the promotions of a record that are not known yet.
func (o *openPromotions) observe(l cataloger.Leadership, now, limit time.Duration) {
	for _, p := range l.OpenPromotions.All() {
		if _, known := o.until[p]; !known {
			o.add(p, now+limit)
		}
	}
}

// forget removes the promotions that cannot be executed any more. Those that the
// record still has are kept, so that they are not taken for new ones.
func (o *openPromotions) forget(l cataloger.Leadership, now time.Duration) {
	listed := l.OpenPromotions.All()
	for p, until := range o.until {
		if until <= now && !slices.Contains(listed, p) {
			delete(o.until, p)
		}
	}
}

// set returns the promotions that may still be executed, none if o is nil.
func (o *openPromotions) set(now time.Duration) cataloger.OpenPromotions {
	if o == nil {
		return ""
	}
	var open []cataloger.OpenPromotion
	for p, until := range o.until {
		if until > now {
			open = append(open, p)
		}
	}
	return cataloger.NewOpenPromotions(open)
}

// includes reports whether a promotion of the server may still be executed.
func (o *openPromotions) includes(id identifier.BackendServerID, now time.Duration) bool {
	return slices.ContainsFunc(o.set(now).All(), func(p cataloger.OpenPromotion) bool { return p.Server() == id })
}

// observeOpenPromotions takes over the unanswered promotions of the newest known
// record, and forgets those that cannot be executed any more.
func (r *Replacer) observeOpenPromotions(w *serviceWatch, known cataloger.Leadership) {
	now := r.Clock()
	w.open.observe(known, now, r.LateLimit)
	w.open.forget(known, now)
}

// observeHolder adds the promotion that the holder of a replacement may have requested
// and that this process does not know. The holder requests none after
// [promotionWindow]. unchangedFor is the time since this instance first knew the record.
func (r *Replacer) observeHolder(w *serviceWatch, l cataloger.Leadership, unchangedFor time.Duration) {
	requested, ok := l.RequestedPromotion()
	isOwn := l.IsHeldBy(r.Self) && l.Revision == w.open.written
	if r.LateLimit == 0 || !ok || isOwn {
		return
	}
	w.open.add(requested, r.Clock()-unchangedFor+promotionWindow+r.LateLimit)
}

// addUnanswered records that the promotion of the server under the present record was
// not answered.
func (r *Replacer) addUnanswered(p *replacement, id identifier.BackendServerID) {
	p.open.add(cataloger.NewOpenPromotion(id, p.record.Token()), r.Clock()+r.LateLimit)
}

// mustAwaitPromotions reports whether the primary must not be replaced yet, because
// an unanswered promotion may still be executed and would replace its successor.
func (r *Replacer) mustAwaitPromotions(service identifier.ServiceName, w *serviceWatch) bool {
	open := w.open.set(r.Clock())
	if r.TokensChecked || open == "" {
		return false
	}
	r.Logger.Warn().Str("event", "replacement_withheld").Str("service", string(service)).
		Str("reason", "unanswered promotions").Str("open", string(open)).Send()
	w.pausedUntil = time.Now().Add(retryDelay)
	return true
}

// checkOpenPromotions returns [errPromotionOpen] if an unanswered promotion of another
// server than the chosen one may still be executed. Where tokens are checked, the
// platform refuses it once it has seen the token of the chosen one.
func (r *Replacer) checkOpenPromotions(p *replacement, chosen identifier.BackendServerID) error {
	if r.TokensChecked {
		return nil
	}
	for _, open := range p.open.set(r.Clock()).All() {
		if open.Server() != chosen {
			return errors.Wrapf(errPromotionOpen, "promotion %s, chosen server %s", open, chosen)
		}
	}
	return nil
}
