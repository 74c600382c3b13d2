package starter

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/coordination/assigner"
	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// decisions are what each instance computes for itself and all have to agree on, for
// one list of instances.
type decisions struct {
	Owners     map[identifier.WorkspaceName][]identifier.InstanceID `json:"owners"` // Of the fractions of a rate.
	Homes      map[identifier.ServiceName][]identifier.InstanceID   `json:"homes"`
	Ranks      []identifier.InstanceID                              `json:"ranks"`     // The first are relays.
	Delays     map[identifier.InstanceID]time.Duration              `json:"delays"`    // Before an instance replaces a primary.
	Successors []identifier.InstanceID                              `json:"monitored"` // Instances that the first one monitors.
}

func decide() decisions {
	d := decisions{
		Owners: map[identifier.WorkspaceName][]identifier.InstanceID{}, Homes: map[identifier.ServiceName][]identifier.InstanceID{},
		Delays: map[identifier.InstanceID]time.Duration{},
	}
	instances := map[identifier.InstanceID]cataloger.Instance{}
	var sorted []cataloger.Instance
	var ids []identifier.InstanceID
	for n := range 24 {
		i := cataloger.Instance{
			ID: identifier.InstanceID(fmt.Sprint("entry-", n)), DataCentre: identifier.DataCentre(fmt.Sprint("dc-", n%3)), Processor: 250 * (1 + n%2),
		}
		instances[i.ID] = i
		sorted, ids = append(sorted, i), append(ids, i.ID)
	}
	fleet := assigner.NewFleet(instances)
	for _, rate := range []float64{1, 30, 400, 5000} {
		name := identifier.WorkspaceName(fmt.Sprint("workspace-", rate))
		l := ratelimiter.Limit{Rate: rate, Burst: rate}
		d.Owners[name] = fleet.Owners(name, ratelimiter.Owners(l, fleet.Size(), fleet.DataCentres()))
	}
	for _, service := range []identifier.ServiceName{"rentals", "invoices"} {
		servers := []cataloger.BackendServer{{ID: "a", DataCentre: "dc-0", Slots: 8}, {ID: "b", DataCentre: "dc-1", Slots: 8}}
		for _, home := range assigner.NewPlan(service, fleet, servers, 40).Homes("workspace-30") {
			d.Homes[service] = append(d.Homes[service], home.ID)
		}
	}
	cataloger.SortByRank(sorted, func(i cataloger.Instance) cataloger.Instance { return i })
	for _, i := range sorted {
		d.Ranks = append(d.Ranks, i.ID)
	}
	for _, id := range ids[:6] {
		d.Delays[id] = replacer.RankDelay("rentals", id, ids[:6])
	}
	d.Successors = reaper.Successors(ids[0], ids, 4)
	return d
}

// Guards against adjacent builds that disagree on owners of a rate, homes, relays, the order of takeover or who monitors whom.
func TestDecisionsOfAdjacentBuilds(t *testing.T) {
	// The version changes only once there is a way for adjacent builds to agree on it.
	f := archiver.JSON[decisions]("decisions", 1)
	f.Write = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	f.Check(t, decide())
	if again := decide(); !reflect.DeepEqual(again, decide()) {
		t.Fatal("decisions depend on the order of a map")
	}
}
