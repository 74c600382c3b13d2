package configurer

import (
	"encoding/json"
	"slices"

	"oleanderpulley/internal/state/identifier"
)

// Evacuation is an evacuated data centre of a view.
type Evacuation struct {
	Version identifier.ConfigVersion // The oldest version of the view that evacuates the data centre.
	// Proposed reports that only the open proposal evacuates the data centre.
	Proposed bool
}

// Evacuations returns the evacuated data centres. In a joint view these are the
// ones that either version evacuates.
func (v View) Evacuations() map[identifier.DataCentre]Evacuation {
	evacuations := map[identifier.DataCentre]Evacuation{}
	if v.Proposed != nil {
		for _, dc := range v.Proposed.EvacuatedDataCentres {
			evacuations[dc] = Evacuation{Version: v.Proposed.Version, Proposed: true}
		}
	}
	if v.Accepted != nil {
		for _, dc := range v.Accepted.EvacuatedDataCentres {
			evacuations[dc] = Evacuation{Version: v.Accepted.Version}
		}
	}
	return evacuations
}

// EvacuatedServers returns the backend servers in evacuated data centres with
// their data centres. In a joint view a server is included if either version
// says so.
func (v View) EvacuatedServers() map[identifier.BackendServerID]identifier.DataCentre {
	servers := map[identifier.BackendServerID]identifier.DataCentre{}
	for _, d := range []*Document{v.Proposed, v.Accepted} {
		if d == nil || len(d.EvacuatedDataCentres) == 0 {
			continue
		}
		for _, s := range d.Services {
			for id, b := range s.BackendServers {
				if slices.Contains(d.EvacuatedDataCentres, b.DataCentre) {
					servers[id] = b.DataCentre
				}
			}
		}
	}
	return servers
}

// HasServersIn reports whether a backend server of any service is in the data
// centre.
func (d *Document) HasServersIn(dc identifier.DataCentre) bool {
	for _, s := range d.Services {
		for _, b := range s.BackendServers {
			if b.DataCentre == dc {
				return true
			}
		}
	}
	return false
}

// Evacuate returns the next version, in which the data centre is evacuated. It
// returns [FieldErrors] if the data centre is evacuated already or has no backend
// servers.
func (d *Document) Evacuate(dc identifier.DataCentre) (*Document, error) {
	return d.withEvacuated(append(slices.Clone(d.EvacuatedDataCentres), dc))
}

// Return returns the next version, in which the data centre is in use again.
func (d *Document) Return(dc identifier.DataCentre) (*Document, error) {
	return d.withEvacuated(slices.DeleteFunc(slices.Clone(d.EvacuatedDataCentres), func(e identifier.DataCentre) bool { return e == dc }))
}

func (d *Document) withEvacuated(evacuated []identifier.DataCentre) (*Document, error) {
	patch, err := json.Marshal(map[string]any{"evacuated_data_centres": evacuated})
	if err != nil {
		return nil, err
	}
	return d.MergePatch(patch)
}
