package runner

import (
	"context"
	"time"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// followConfiguration applies each change of the configuration to the components
// that do not read it themselves.
func (r *Runner) followConfiguration(ctx context.Context) {
	var applied configurer.View
	for {
		changed := r.distributor.Changes()
		if view, err := r.distributor.Current(); err == nil && view != applied {
			applied = view
			r.evacuations.current() // Starts the grace period also without traffic.
			r.applyConfiguration(view)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// refreshPeriodically recomputes the connection budgets each second and keeps the
// groups sampled that this instance samples even without clients. Both depend on
// the instance list.
func (r *Runner) refreshPeriodically(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var rankedView configurer.View
	var rankedChanges int64
	var sampled []identifier.ServiceName
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.dispatcher.Refresh()
			view, err := r.distributor.Current()
			if err != nil {
				continue
			}
			if changes := r.instanceListChanges.Load(); view != rankedView || changes != rankedChanges {
				rankedView, rankedChanges, sampled = view, changes, r.groupsToSample(view)
			}
			for _, service := range sampled {
				r.prober.KeepSampled(service)
			}
		}
	}
}
