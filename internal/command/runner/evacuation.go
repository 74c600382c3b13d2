package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/acceptor"
)

// evacuationCheckInterval is how often transactions and connections at evacuated
// servers are looked for. It bounds how long they last after the grace period.
const evacuationCheckInterval = 250 * time.Millisecond

// evacuations determines which backend servers are evacuated, and since when, from
// the configuration that the instance enforces. While the instance has no current
// configuration, the last one counts.
type evacuations struct {
	view   func() (configurer.View, error)
	logger zerolog.Logger

	mu    sync.Mutex // Held while state is replaced.
	state atomic.Pointer[evacuationState]
}

// evacuationState is derived from one view and not modified.
type evacuationState struct {
	view        configurer.View
	dataCentres map[identifier.DataCentre]evacuation
	servers     map[identifier.BackendServerID]identifier.DataCentre // The evacuated ones.
}

type evacuation struct {
	configurer.Evacuation
	seenAt time.Time // When this instance first saw it.
	// graceFrom is the start of the grace period: seenAt, or zero if this instance
	// saw the evacuation first in an accepted version. It was then in force
	// elsewhere while this instance was not serving.
	graceFrom time.Time
}

func (e evacuation) withdrawn(now time.Time) bool {
	return now.Sub(e.graceFrom) > router.DefaultLeavingGrace
}

// since returns the start of the grace period of an evacuated server, and false if
// the server is not evacuated.
func (e *evacuations) since(server identifier.BackendServerID) (time.Time, bool) {
	s := e.current()
	dc, ok := s.servers[server]
	return s.dataCentres[dc].graceFrom, ok
}

// mayUse implements [acceptor.Hooks.MayUse].
func (e *evacuations) mayUse(server identifier.BackendServerID, held bool) error {
	s := e.current()
	dc, ok := s.servers[server]
	if !ok || held && !s.dataCentres[dc].withdrawn(time.Now()) {
		return nil
	}
	return errors.Wrapf(acceptor.ErrEvacuated, "%s", dc)
}

// current returns the state for the view that the instance enforces now. It does
// not rely on being notified, so that no decision after an accepted change is
// based on an older view.
func (e *evacuations) current() *evacuationState {
	s := e.state.Load()
	if view, err := e.view(); s != nil && (err != nil || s.view == view) {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// The view is read again, so that a goroutine that was delayed does not
	// replace the state by an older one.
	s = e.state.Load()
	view, err := e.view()
	switch {
	case s == nil && err != nil:
		return &evacuationState{}
	case err != nil || s != nil && s.view == view:
		return s
	case s == nil:
		s = &evacuationState{}
	}
	next := s.next(view, time.Now())
	e.logChanges(s, next)
	e.state.Store(next)
	return next
}

// next returns the state for the next view.
func (s *evacuationState) next(view configurer.View, now time.Time) *evacuationState {
	n := &evacuationState{view: view, dataCentres: map[identifier.DataCentre]evacuation{}, servers: view.EvacuatedServers()}
	for dc, found := range view.Evacuations() {
		e, known := s.dataCentres[dc]
		if !known {
			e.seenAt = now
			if found.Proposed {
				e.graceFrom = now
			}
		}
		e.Evacuation = found
		n.dataCentres[dc] = e
	}
	return n
}

func (e *evacuations) logChanges(from, to *evacuationState) {
	for _, dc := range slices.Sorted(maps.Keys(to.dataCentres)) {
		if _, known := from.dataCentres[dc]; !known {
			began := to.dataCentres[dc]
			e.logger.Info().Str("event", "evacuation_began").Str("evacuated", string(dc)).
				Uint64("version", uint64(began.Version)).Bool("proposed", began.Proposed).Send()
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(from.dataCentres)) {
		if _, remains := to.dataCentres[dc]; !remains {
			e.logger.Info().Str("event", "evacuation_ended").Str("evacuated", string(dc)).
				Uint64("version", uint64(to.view.Accepted.Version)).Send()
		}
	}
}

// enforceEvacuations ends what still uses evacuated servers after the grace
// period: open transactions, running statements and idle connections.
func (r *Runner) enforceEvacuations(ctx context.Context) {
	ticker := time.NewTicker(evacuationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s, withdrawn := r.evacuations.current(), false
			for server, dc := range s.servers {
				if s.dataCentres[dc].withdrawn(now) {
					r.pooler.CloseIdle(server)
					withdrawn = true
				}
			}
			if withdrawn {
				r.acceptor.EndEvacuated()
			}
		}
	}
}

// EvacuationStatus describes an evacuated data centre as this instance sees it.
type EvacuationStatus struct {
	DataCentre identifier.DataCentre    `json:"data_centre"`
	Version    identifier.ConfigVersion `json:"version"`
	Proposed   bool                     `json:"proposed,omitempty"` // Only an open proposal evacuates it.
	SinceMS    int64                    `json:"since_ms"`           // Since this instance first saw it.
	// Withdrawn reports that this instance sends no statements there any more.
	Withdrawn bool `json:"withdrawn"`
	// Primaries has the services whose primary is still in the data centre.
	Primaries []identifier.ServiceName `json:"primaries"`
	// Refused has the services whose statements are refused, because all their
	// backend servers are evacuated, some of them in this data centre.
	Refused []identifier.ServiceName `json:"refused,omitempty"`
}

func (r *Runner) evacuationStatuses() []EvacuationStatus {
	s, now := r.evacuations.current(), time.Now()
	var statuses []EvacuationStatus
	for _, dc := range slices.Sorted(maps.Keys(s.dataCentres)) {
		e := s.dataCentres[dc]
		status := EvacuationStatus{
			DataCentre: dc, Version: e.Version, Proposed: e.Proposed, SinceMS: now.Sub(e.seenAt).Milliseconds(),
			Withdrawn: e.withdrawn(now), Primaries: []identifier.ServiceName{},
		}
		for _, name := range slices.Sorted(maps.Keys(s.view.Accepted.Services)) {
			primary, _, ok := r.groups.Get(name).Primary()
			if ok && s.servers[primary] == dc {
				status.Primaries = append(status.Primaries, name)
			}
			if s.refuses(name, dc) {
				status.Refused = append(status.Refused, name)
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// refuses reports whether every backend server of the service is evacuated, and
// one of them is in the data centre.
func (s *evacuationState) refuses(service identifier.ServiceName, dc identifier.DataCentre) bool {
	concerned := false
	for server := range s.view.Accepted.Services[service].BackendServers {
		in, evacuated := s.servers[server]
		if !evacuated {
			return false
		}
		concerned = concerned || in == dc
	}
	return concerned
}
