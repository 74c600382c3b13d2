package replacer

import (
	"context"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// checkService checks the primary of a service once and replaces it if it has
// failed or drains.
func (r *Replacer) checkService(ctx context.Context, service identifier.ServiceName, w *serviceWatch) {
	if !r.IsProven() {
		return // The store does not answer, so that nothing can be announced.
	}
	known := r.Record(service)
	stored, isStored := r.Catalog().Leaderships[service]
	if stored.IsUnreadable() || (known.IsUnreadable() && (isStored || known.Revision.IsAfter(r.Catalog().Revision))) {
		return // Operators have to rewrite or remove the record.
	}
	r.observeOpenPromotions(w, known)
	w.observeReplacing(known.IsReplacing())
	if known.IsReplacing() {
		r.checkReplacement(ctx, service, w, known)
		return
	}
	if known.Term != w.term {
		// The silence was that of another primary.
		w.term, w.silentSince = known.Term, time.Time{}
	}
	if r.restoreRecord(ctx, service, w) {
		return
	}
	if len(r.Catalog().Servers[service]) == 0 {
		return // No server has registered yet that could become the primary.
	}
	r.checkPrimary(ctx, service, w, known)
}

// primaryState is what this instance knows of the primary of a service.
type primaryState struct {
	id         identifier.BackendServerID // Empty if it was observed not to lead.
	term       identifier.Term
	lastLed    time.Time
	server     cataloger.BackendServer
	registered bool
}

// leads reports whether the primary was seen leading so recently that it is not
// queried.
func (p primaryState) leads() bool {
	return p.registered && time.Since(p.lastLed) < recentLeadWindow
}

// observePrimary returns the state of the primary and records in the watch what a
// replacement needs of it.
func (r *Replacer) observePrimary(c *cataloger.Catalog, service identifier.ServiceName, w *serviceWatch) primaryState {
	var p primaryState
	p.id, p.term, p.lastLed = r.LastLed(service)
	p.server, p.registered = c.Server(service, p.id)
	if p.id != "" {
		w.lastLeader = p.id
	}
	if c.Configuration.Services[service].SyncReplicas > 0 {
		w.observeMembers(c.Servers[service], r.newGroupUpdate(c, service, p), r.Era(), r.rankDelay(service))
	}
	return p
}

// checkPrimary replaces the primary if it leaves, and checks it further if it was not
// seen leading recently. known is the leadership record.
func (r *Replacer) checkPrimary(ctx context.Context, service identifier.ServiceName, w *serviceWatch, known cataloger.Leadership) {
	c := r.Catalog()
	p := r.observePrimary(c, service, w)
	if p.registered && p.server.Evacuated && !hasSuccessor(c.Servers[service], p.id) {
		r.logBlockedEvacuation(service, w, p.server)
		return
	}
	w.blocked = false
	switch {
	case p.registered && r.canHandOver(p.server, p.lastLed):
		if w.leavingFor(p.id) >= r.rankDelay(service) && !r.mustAwaitPromotions(service, w) {
			r.handOverPrimary(ctx, service, w, known, p.server)
		}
	case p.leads():
		w.silentSince = time.Time{}
	default:
		if r.hasFailed(ctx, service, w, c, p) && !r.mustAwaitPromotions(service, w) {
			r.replacePrimary(ctx, service, w, known, nil)
		}
	}
}

// hasFailed queries the servers and the peers for a primary that was not seen leading
// recently. It reports whether the primary is to be replaced now.
func (r *Replacer) hasFailed(ctx context.Context, service identifier.ServiceName, w *serviceWatch, c *cataloger.Catalog, p primaryState) bool {
	notNeeded := make(chan struct{})
	sightings := r.queryPeersUnless(ctx, service, notNeeded)
	answers, reached := r.queryServers(c, service)
	if answers {
		close(notNeeded)
		w.silentSince = time.Time{}
		return false
	}
	now := time.Now()
	if w.silentSince.IsZero() {
		w.silentSince = estimateSilenceStart(p.lastLed, now)
		r.Logger.Warn().Str("event", "primary_lost").Str("service", string(service)).Str("server", string(p.id)).
			Bool("registered", p.registered).Uint64("term", uint64(p.term)).Dur("last_seen_ms", now.Sub(p.lastLed)).Send()
	}
	if now.Sub(w.silentSince) < suspicionTimeout+r.rankDelay(service) {
		close(notNeeded) // It is too early to act on the answers of the peers.
		return false
	}
	sight := <-sightings
	switch {
	case w.budget.isSpent(now):
		r.Logger.Warn().Str("event", "replacement_withheld").Str("service", string(service)).Str("reason", "replaced too often").
			Int("replacements", len(w.budget.replaced)).Dur("within_ms", replacementWindow).Send()
	case !sight.allowsReplacement(hasSelfDeclaredPrimary(c.Servers[service]), reached):
		r.Logger.Info().Str("event", "replacement_withheld").Str("service", string(service)).
			Int("peers_asked", sight.Asked).Int("peers_answered", sight.Answered).Bool("led", sight.Led).Int("servers_reached", reached).Send()
	default:
		return true
	}
	w.pausedUntil = now.Add(retryDelay)
	return false
}

// checkReplacement continues a replacement that this instance or one that was
// killed has not finished.
func (r *Replacer) checkReplacement(ctx context.Context, service identifier.ServiceName, w *serviceWatch, l cataloger.Leadership) {
	unchangedFor := w.unchangedFor(l)
	if isAvailable(l, r.Self, unchangedFor-r.rankDelay(service)) {
		r.replacePrimary(ctx, service, w, l, nil)
	}
}

// restoreRecord writes the record of a finished replacement into the store if
// the store lacks it, because its write failed or the store came back from an
// older copy. It reports whether it has tried.
func (r *Replacer) restoreRecord(ctx context.Context, service identifier.ServiceName, w *serviceWatch) bool {
	known, stored := r.Record(service), r.Catalog().Leaderships[service]
	if known.Term <= stored.Term && !stored.IsHeldBy(r.Self) {
		w.lackingSince = time.Time{}
		return false
	}
	if w.lackingSince.IsZero() {
		w.lackingSince = time.Now()
	}
	if time.Since(w.lackingSince) < restoreDelay+r.rankDelay(service) {
		return false
	}
	w.lackingSince = time.Time{}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	w.open.observe(stored, r.Clock(), r.LateLimit)
	restored, err := stored.Restore(known)
	if err == nil {
		restored.OpenPromotions = w.open.set(r.Clock())
		restored, err = r.WriteRecord(ctx, service, restored)
	}
	if err == nil {
		r.Adopt(service, restored)
	}
	r.Logger.Info().Str("event", "record_restored").Str("service", string(service)).Uint64("term", uint64(known.Term)).Err(err).Send()
	return true
}

// estimateSilenceStart returns when contact to the primary was lost: just after
// it was last seen leading, but not long before the loss was noticed, because an
// idle service is not queried continuously.
func estimateSilenceStart(lastLed, noticed time.Time) time.Time {
	if earliest := noticed.Add(-suspicionTimeout * 4 / 5); lastLed.Before(earliest) {
		return earliest
	}
	return lastLed
}
