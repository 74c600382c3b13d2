package replacer

import (
	"context"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// maxHandovers is the number of evacuated primaries that one instance hands
// over at the same time. While a primary is handed over, its service has none, and
// its clients return at once afterwards.
const maxHandovers = 4

// canHandOver reports whether the primary leaves and can hand over its log. A
// draining primary is expected to answer until it ends. One whose data centre is
// evacuated may have failed or be cut off, so it is queried unless it was seen
// leading recently.
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
		if !r.beginHandover() {
			r.Logger.Debug().Str("event", "handover_deferred").Str("service", string(service)).Send()
			return
		}
		defer r.endHandover()
	}
	r.replacePrimary(ctx, service, w, basis, &primary)
}

func (r *Replacer) beginHandover() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handovers >= maxHandovers {
		return false
	}
	r.handovers++
	return true
}

func (r *Replacer) endHandover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handovers--
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
