package promoter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/identifier"
)

// Stage is the state of the term in a group's record.
type Stage string

// Stages of a group's record.
const (
	Opening Stage = "opening" // An attempt has claimed the term and not completed it.
	Open    Stage = "open"    // The attempt has completed all steps.
)

// GroupRecord is the object group/<service> that the platform stores.
type GroupRecord struct {
	Term     identifier.Term              `json:"term"`
	Stage    Stage                        `json:"stage"`
	Primary  identifier.BackendServerID   `json:"primary"` // Primary of the last term that was marked open.
	Members  []identifier.BackendServerID `json:"members"`
	Holder   string                       `json:"holder"` // Id of the attempt that claimed the term.
	Instance identifier.InstanceID        `json:"instance"`
	// Previous is the only member that may still commit writes of an older term.
	// It is empty if the attempt before this one was not completed, because that
	// attempt may have promoted any member.
	Previous identifier.BackendServerID `json:"previous"`
	// Started is the wall clock time at which the term was claimed. It is only an
	// estimate, because the wall clocks of the instances may differ.
	Started time.Time `json:"started"`
}

// Rank returns the instance's position, from 0, in the order that rendezvous
// hashing gives the live instances for the service. An instance that is not in
// the list of live instances ranks last.
func Rank(service identifier.ServiceName, self identifier.InstanceID, live []identifier.InstanceID) int {
	if !slices.Contains(live, self) {
		return len(live)
	}
	own := weight(service, self)
	rank := 0
	for _, id := range live {
		if w := weight(service, id); w > own || w == own && id < self {
			rank++
		}
	}
	return rank
}

// SortByRank returns the live instances sorted by their [Rank] for the service.
// It hashes each instance only once.
func SortByRank(service identifier.ServiceName, live []identifier.InstanceID) []identifier.InstanceID {
	weights := make(map[identifier.InstanceID]uint64, len(live))
	for _, id := range live {
		weights[id] = weight(service, id)
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b identifier.InstanceID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}

func weight(service identifier.ServiceName, id identifier.InstanceID) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(id))
}
