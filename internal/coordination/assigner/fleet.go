package assigner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Fleet holds the registered instances by data centre. It is computed once for
// each list of instances. The zero value is an empty fleet.
type Fleet struct {
	members     map[identifier.DataCentre][]*member
	owners      map[identifier.DataCentre][]*member // That may own fractions of rates.
	dataCentres []identifier.DataCentre             // Sorted.
	size        int
}

// member is an instance with the hash of its id.
type member struct {
	instance cataloger.Instance
	hash     uint64
}

// NewFleet returns the fleet of the registered instances.
func NewFleet(instances map[identifier.InstanceID]cataloger.Instance) *Fleet {
	f := &Fleet{members: map[identifier.DataCentre][]*member{}, owners: map[identifier.DataCentre][]*member{}, size: len(instances)}
	for id, i := range instances {
		i.ID = id
		f.members[i.DataCentre] = append(f.members[i.DataCentre], &member{i, xxhash.Sum64String(string(id))})
	}
	f.dataCentres = slices.Sorted(maps.Keys(f.members))
	for d, members := range f.members {
		f.owners[d] = topRanked(members, maxOwners)
	}
	return f
}

// maxOwners is the number of instances of a data centre among which the fractions
// of all rates are spread. Every instance has links to all of them, because it asks
// them for the tokens of each operation that it admits.
const maxOwners = 6

// topRanked returns the count members that rank first.
func topRanked(members []*member, count int) []*member {
	if len(members) <= count {
		return members
	}
	sorted := slices.Clone(members)
	cataloger.SortByRank(sorted, func(m *member) cataloger.Instance { return m.instance })
	return sorted[:count]
}

// DataCentres returns the number of data centres with instances.
func (f *Fleet) DataCentres() int {
	return len(f.dataCentres)
}

// Size returns the number of instances.
func (f *Fleet) Size() int {
	return f.size
}

// highest returns up to count instances of a data centre, those with the highest
// weights for the key first.
func (f *Fleet) highest(d identifier.DataCentre, key uint64, count int) []*member {
	return highest(f.members[d], key, count)
}

// highest returns up to count members, those with the highest weights for the key
// first.
func highest(members []*member, key uint64, count int) []*member {
	count = min(count, len(members))
	best := make([]ranked, 0, count+1)
	for i := range members {
		r := ranked{weight(key, members[i].hash), i}
		if len(best) == count && (count == 0 || compareRanked(members, r, best[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return compareRanked(members, a, b) })
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), count)]
	}
	chosen := make([]*member, len(best))
	for i, r := range best {
		chosen[i] = members[r.index]
	}
	return chosen
}

// ranked is the weight of a member for a key and its index.
type ranked struct {
	weight uint64
	index  int
}

// compareRanked orders members by their weight, the highest first.
func compareRanked(members []*member, a, b ranked) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(members[a.index].instance.ID, members[b.index].instance.ID)
}

// weight combines two hashes into the weight of rendezvous hashing. It is the
// finalizer of SplitMix64.
func weight(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Owners returns up to count instances among which the rate limit of a workspace
// is divided, taken from the data centres in turn.
func (f *Fleet) Owners(w identifier.WorkspaceName, count int) []identifier.InstanceID {
	if len(f.dataCentres) == 0 {
		return nil
	}
	key := xxhash.Sum64String(string(w))
	start := int(key % uint64(len(f.dataCentres)))
	candidates := make([][]*member, len(f.dataCentres))
	most := 0
	for i := range candidates {
		d := f.dataCentres[(start+i)%len(f.dataCentres)]
		candidates[i] = highest(f.owners[d], key, maxOwners)
		most = max(most, len(candidates[i]))
	}
	owners := make([]identifier.InstanceID, 0, count)
	for position := range most {
		for _, members := range candidates {
			if position < len(members) && len(owners) < count {
				owners = append(owners, members[position].instance.ID)
			}
		}
	}
	return owners
}
