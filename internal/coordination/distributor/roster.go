package distributor

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Roster lists the instances of a data centre that count towards its
// majorities. Each change adds or removes one instance; only Retire removes
// all.
type Roster struct {
	DataCentre identifier.DataCentre   `json:"data_centre" cbor:"data_centre"`
	Version    uint64                  `json:"-" cbor:"version"` // The platform's version of the object.
	Members    []identifier.InstanceID `json:"members" cbor:"members"`
	// Previous lists the members before the last change.
	Previous []identifier.InstanceID `json:"previous,omitempty" cbor:"previous,omitempty"`
	// Departed lists previous members that left by themselves and no longer
	// serve.
	Departed []identifier.InstanceID `json:"departed,omitempty" cbor:"departed,omitempty"`
	// Removed lists instances that were removed and may still serve for
	// Validity.
	Removed []identifier.InstanceID `json:"removed,omitempty" cbor:"removed,omitempty"`
	// Removals counts all members that were ever removed and did not leave by
	// themselves. The rate ledger opens a new epoch when it grows
	// (docs/design.md, 5.7).
	Removals uint64 `json:"removals,omitempty" cbor:"removals,omitempty"`
	Retired  bool   `json:"retired,omitempty" cbor:"retired,omitempty"`
}

func decodeRoster(dc identifier.DataCentre, o Object) (Roster, error) {
	r := Roster{DataCentre: dc, Version: o.Version}
	if o.Version == 0 {
		return r, nil
	}
	err := json.Unmarshal(o.Value, &r)
	r.DataCentre = dc
	return r, errors.Wrapf(err, "roster of %s", dc)
}

// Has reports whether an instance is a member.
func (r Roster) Has(id identifier.InstanceID) bool {
	return slices.Contains(r.Members, id)
}

// HasMajority reports whether the instances for which holds is true form a
// majority of the roster, and of the previous one unless the roster is
// established.
func (r Roster) HasMajority(established bool, holds func(identifier.InstanceID) bool) bool {
	if !isMajority(r.Members, holds) {
		return false
	}
	return established || isMajority(r.Previous, func(id identifier.InstanceID) bool {
		return slices.Contains(r.Departed, id) || holds(id)
	})
}

// AllHold reports whether holds is true for every member.
func (r Roster) AllHold(holds func(identifier.InstanceID) bool) bool {
	return !slices.ContainsFunc(r.Members, func(id identifier.InstanceID) bool { return !holds(id) })
}

// withMember returns the roster after an instance joined.
func (r Roster) withMember(id identifier.InstanceID) Roster {
	next := r.nextRoster()
	next.Members = append(slices.Clone(r.Members), id)
	slices.Sort(next.Members)
	next.Removed = slices.DeleteFunc(next.Removed, func(o identifier.InstanceID) bool { return o == id })
	return next
}

// withoutMember returns the roster after an instance departed by itself or was
// removed.
func (r Roster) withoutMember(id identifier.InstanceID, departed bool) Roster {
	next := r.nextRoster()
	next.Members = slices.DeleteFunc(slices.Clone(r.Members), func(o identifier.InstanceID) bool { return o == id })
	if departed {
		next.Departed = []identifier.InstanceID{id}
	} else {
		next.Removed = append(next.Removed, id)
		next.Removals++
	}
	return next
}

func (r Roster) nextRoster() Roster {
	return Roster{DataCentre: r.DataCentre, Previous: slices.Clone(r.Members), Removed: slices.Clone(r.Removed), Removals: r.Removals}
}

// membersPerRelay limits the load of a relay. Each instance that it serves
// costs it about 390 bytes a second (docs/CAPACITY.md), so that 24 of them
// leave room in the 13 KB/s of control traffic.
const membersPerRelay = 24

// relays returns the instances that read the platform for the data centre: the
// first by rank, at least two of them if there are as many.
func (r Roster) relays() []identifier.InstanceID {
	ranked := r.ranked()
	count := max(2, (len(ranked)+membersPerRelay-1)/membersPerRelay)
	return ranked[:min(count, len(ranked))]
}

// ranked orders the members by rendezvous hashing.
func (r Roster) ranked() []identifier.InstanceID {
	ranked := slices.Clone(r.Members)
	weight := func(id identifier.InstanceID) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(r.DataCentre + "/" + identifier.DataCentre(id)))
		return h.Sum64()
	}
	slices.SortStableFunc(ranked, func(a, b identifier.InstanceID) int {
		switch x, y := weight(a), weight(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return ranked
}

// isMajority reports whether holds is true for more than half of the ids, or
// for exactly half of them including the lowest id. Two such sets always have a
// member in common. An empty list always has a majority.
func isMajority(ids []identifier.InstanceID, holds func(identifier.InstanceID) bool) bool {
	count := 0
	for _, id := range ids {
		if holds(id) {
			count++
		}
	}
	if 2*count == len(ids) && count > 0 {
		return holds(slices.Min(ids))
	}
	return 2*count > len(ids) || len(ids) == 0
}
