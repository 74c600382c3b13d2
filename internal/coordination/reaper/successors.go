package reaper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// minWitnesses is the number of peers that are queried in a fleet with fewer
	// data centres, maxWitnesses the limit in one with more.
	minWitnesses = 3
	maxWitnesses = 7
)

// Successors returns up to count ids that follow self in ascending order, which
// wraps around after the last. Self itself is left out.
func Successors(self identifier.InstanceID, ids []identifier.InstanceID, count int) []identifier.InstanceID {
	return successors(self, ids, count, func(id identifier.InstanceID) uint64 {
		if id < self {
			return 1 // After the wrap.
		}
		return 0
	})
}

// HashSuccessors returns up to count ids that follow self in the order of their
// hashes, which wraps around after the last. Self itself is left out.
func HashSuccessors(self identifier.InstanceID, ids []identifier.InstanceID, count int) []identifier.InstanceID {
	own := hash(self)
	return successors(self, ids, count, func(id identifier.InstanceID) uint64 { return hash(id) - own })
}

// successors returns up to count ids other than self with the smallest distances,
// in order, and by id where these are equal.
func successors(self identifier.InstanceID, ids []identifier.InstanceID, count int, distance func(identifier.InstanceID) uint64) []identifier.InstanceID {
	type neighbour struct {
		distance uint64
		id       identifier.InstanceID
	}
	compare := func(a, b neighbour) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.id, b.id))
	}
	nearest := make([]neighbour, 0, count+1)
	for _, id := range ids {
		n := neighbour{distance(id), id}
		if id == self || (len(nearest) == count && compare(n, nearest[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(nearest, n, compare)
		nearest = slices.Insert(nearest, at, n)
		nearest = nearest[:min(len(nearest), count)]
	}
	following := make([]identifier.InstanceID, len(nearest))
	for i, n := range nearest {
		following[i] = n.id
	}
	return following
}

func compareHashes(a, b identifier.InstanceID) int {
	return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
}

func hash(id identifier.InstanceID) uint64 {
	return xxhash.Sum64String(string(id))
}

// chooseWitnesses returns the peers to query about whether the target can be
// reached: one of each data centre, at most maxWitnesses, and further ones in a
// fleet with fewer than minWitnesses data centres. The seed selects among the
// instances of a data centre and among the data centres.
func chooseWitnesses(members map[identifier.InstanceID]cataloger.Instance, self, target identifier.InstanceID, seed uint64) []identifier.InstanceID {
	candidates := make([]identifier.InstanceID, 0, len(members))
	for id := range members {
		if id != self && id != target {
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, func(a, b identifier.InstanceID) int {
		return cmp.Or(cmp.Compare(hash(a)^seed, hash(b)^seed), cmp.Compare(a, b))
	})
	var first, others []identifier.InstanceID // The first of each data centre, and the others.
	seen := map[identifier.DataCentre]bool{}
	for _, id := range candidates {
		if d := members[id].DataCentre; seen[d] {
			others = append(others, id)
		} else {
			seen[d] = true
			first = append(first, id)
		}
	}
	count := min(max(len(first), minWitnesses), maxWitnesses, len(candidates))
	return append(first, others...)[:count]
}

// removalDelay returns the time by which the removal of the instance is delayed,
// so that the removals of instances that fail at the same time are spread.
func removalDelay(id identifier.InstanceID, members int) time.Duration {
	window := min(time.Duration(members)*time.Second/fleetRemovalRate, maxRemovalDelay)
	const steps = 1 << 16
	return window * time.Duration(hash(id)%steps) / steps
}
