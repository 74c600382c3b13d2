package replacer

import (
	"context"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// maxEvacuations is the number of evacuated primaries that one instance hands
// over at the same time. While a primary is handed over, its service has none, and
// its clients return at once afterwards.
const maxEvacuations = 4

// canHandOver reports whether the primary leaves and can hand over its log. A
// draining primary is expected to answer until it ends. One whose data centre is
// evacuated may have failed or be cut off.
func (r *Replacer) canHandOver(primary cataloger.BackendServer, lastLed time.Time) bool {
	switch {
	case primary.Draining:
		return true
	case primary.Evacuated:
		return time.Since(lastLed) < recentLeadWindow || r.Confirm(primary) == nil
	default:
		return false
	}
}

// handOverPrimary replaces a primary that leaves. It waits for a later check while
// this instance hands over as many evacuated primaries as it may.
func (r *Replacer) handOverPrimary(ctx context.Context, service identifier.ServiceName, w *serviceWatch,
	basis cataloger.Leadership, primary cataloger.BackendServer,
) {
	if primary.Evacuated {
		if !r.beginEvacuation() {
			return
		}
		defer r.endEvacuation()
	}
	r.replacePrimary(ctx, service, w, basis, &primary)
}

func (r *Replacer) beginEvacuation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuations >= maxEvacuations {
		return false
	}
	r.evacuations++
	return true
}

func (r *Replacer) endEvacuation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations--
}

// logBlockedEvacuation logs once that no server can take over from an evacuated
// primary. What only the primary can run is refused then.
func (r *Replacer) logBlockedEvacuation(service identifier.ServiceName, w *serviceWatch, primary cataloger.BackendServer) {
	if w.blocked {
		return
	}
	w.blocked = true
	r.Logger.Warn().Str("event", "evacuation_blocked").Str("service", string(service)).Str("server", string(primary.ID)).
		Str("data_centre", string(primary.DataCentre)).Send()
}
