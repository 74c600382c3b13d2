package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// checkEvacuation returns [ErrEvacuated], with the names of the data centres, if
// every backend server of the service is in an evacuated data centre.
func (r *Router) checkEvacuation(service identifier.ServiceName) error {
	members := r.Members(service)
	for server := range members {
		if _, evacuated := r.evacuated(server); !evacuated {
			return nil
		}
	}
	if len(members) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, b := range members {
		names[string(b.DataCentre)] = true
	}
	return errors.Wrap(ErrEvacuated, strings.Join(slices.Sorted(maps.Keys(names)), ", "))
}

// primaryForRead is [Router.primary] for a read, which is never sent to an
// evacuated data centre.
func (r *Router) primaryForRead(service identifier.ServiceName, g *tracker.Group) (Choice, error) {
	c, err := r.primary(service, g)
	if err != nil {
		return c, err
	}
	if _, evacuated := r.evacuated(c.Server); evacuated {
		return Choice{}, r.leavingError(c.Server)
	}
	return c, nil
}

// leavingError returns the error for a primary that is no longer used because it
// is draining or its data centre is evacuated.
func (r *Router) leavingError(primary identifier.BackendServerID) error {
	if _, evacuated := r.evacuated(primary); evacuated {
		return errors.Wrapf(ErrNoPrimary, "the data centre of %s is evacuated", primary)
	}
	return errors.Wrapf(ErrNoPrimary, "%s is leaving", primary)
}

func (r *Router) evacuated(server identifier.BackendServerID) (time.Time, bool) {
	if r.EvacuatedSince == nil {
		return time.Time{}, false
	}
	return r.EvacuatedSince(server)
}
