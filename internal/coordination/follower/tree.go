package follower

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// instancesPerRelay is the number of instances that share one relay.
	instancesPerRelay = 24
	// minRelaysBesideRoots is the number of relays of a data centre that suffices
	// without the roots among them. A root serves the relays of all data centres
	// already.
	minRelaysBesideRoots = 2
)

// tree is the order in which catalogs get from the store to the instances: those of
// a data centre ask its relays, and the relays ask the roots among them, so that
// neither the calls of the store nor the traffic between data centres grow with the
// instances. Every instance derives the same tree from the same members.
type tree struct {
	members      map[identifier.InstanceID]cataloger.Instance
	byDataCentre map[identifier.DataCentre][]cataloger.Instance // By rank, so that the relays come first.
	roots        []cataloger.Instance
	others       []cataloger.Instance // The relays that are no roots.
}

func newTree(members map[identifier.InstanceID]cataloger.Instance) *tree {
	t := &tree{members: members, byDataCentre: map[identifier.DataCentre][]cataloger.Instance{}}
	for id, m := range members {
		m.ID = id
		t.byDataCentre[m.DataCentre] = append(t.byDataCentre[m.DataCentre], m)
	}
	for _, instances := range t.byDataCentre {
		sortByRank(instances)
	}
	relays := t.relaysByPosition()
	count := relaysFor(len(relays))
	t.roots, t.others = relays[:count], relays[count:]
	return t
}

// relaysByPosition returns the relays of all data centres, the first ones of each
// before the second ones, so that roots are in different data centres.
func (t *tree) relaysByPosition() (relays []cataloger.Instance) {
	for position := 0; ; position++ {
		var level []cataloger.Instance
		for d := range t.byDataCentre {
			if local := t.relaysOf(d); position < len(local) {
				level = append(level, local[position])
			}
		}
		if len(level) == 0 {
			return relays
		}
		sortByRank(level)
		relays = append(relays, level...)
	}
}

// relaysOf returns the relays of a data centre.
func (t *tree) relaysOf(d identifier.DataCentre) []cataloger.Instance {
	instances := t.byDataCentre[d]
	return instances[:relaysFor(len(instances))]
}

// isRelay reports whether the instance is a relay of its data centre.
func (t *tree) isRelay(id identifier.InstanceID) bool {
	return containsInstance(t.relaysOf(t.members[id].DataCentre), id)
}

// parents returns the instances that the given one asks for the catalog, the first
// one as long as it answers. There are none if that instance queries the store itself.
func (t *tree) parents(id identifier.InstanceID) []identifier.InstanceID {
	if containsInstance(t.roots, id) {
		return nil
	}
	d := t.members[id].DataCentre
	local := t.relaysOf(d)
	if containsInstance(local, id) {
		return startingAt(t.roots, positionOfParent(t.others, len(t.roots), id))
	}
	relays := withoutRoots(local, t.roots)
	return startingAt(relays, positionOfParent(t.byDataCentre[d][len(local):], len(relays), id))
}

// fallbackInterval returns the time between two queries of an instance while the
// store does not answer. A root queries it as often as otherwise.
func (t *tree) fallbackInterval(id identifier.InstanceID) time.Duration {
	switch {
	case containsInstance(t.roots, id), len(t.byDataCentre[t.members[id].DataCentre]) == 0:
		return defaultPeriod
	case t.isRelay(id):
		return relayFallbackInterval
	}
	local := len(t.byDataCentre[t.members[id].DataCentre])
	return max(relayFallbackInterval, time.Duration(local)*time.Second/maxFallbackRate)
}

// Parents returns the instances that the given one of the members asks for the
// catalog, as its relays or roots, in order.
func Parents(members map[identifier.InstanceID]cataloger.Instance, self identifier.InstanceID) []identifier.InstanceID {
	return newTree(members).parents(self)
}

// positionOfParent returns the position of the parent of a child among the given
// number of parents. Each child prefers one by its hash, and takes the next one if
// that has its share of the children already, so that no parent serves more than the
// others.
func positionOfParent(children []cataloger.Instance, parents int, child identifier.InstanceID) int {
	if parents == 0 {
		return 0
	}
	share := (len(children) + parents - 1) / parents
	served := make([]int, parents)
	for _, c := range children {
		i := int(xxhash.Sum64String(string(c.ID)) % uint64(parents))
		for served[i] >= share {
			i = (i + 1) % parents
		}
		if c.ID == child {
			return i
		}
		served[i]++
	}
	return 0
}

// withoutRoots returns the relays of a data centre that its other instances ask.
func withoutRoots(local, roots []cataloger.Instance) []cataloger.Instance {
	others := slices.DeleteFunc(slices.Clone(local), func(i cataloger.Instance) bool { return containsInstance(roots, i.ID) })
	if len(others) < minRelaysBesideRoots {
		return local
	}
	return others
}

// relaysFor returns the number of relays that serve that many instances.
func relaysFor(instances int) int {
	return (instances + instancesPerRelay - 1) / instancesPerRelay
}

func sortByRank(instances []cataloger.Instance) {
	cataloger.SortByRank(instances, func(i cataloger.Instance) cataloger.Instance { return i })
}

func containsInstance(instances []cataloger.Instance, id identifier.InstanceID) bool {
	return slices.ContainsFunc(instances, func(i cataloger.Instance) bool { return i.ID == id })
}

// rotate returns the relays, starting with one that depends on the instance, so
// that the instances are spread over them.
func rotate(relays []cataloger.Instance, self identifier.InstanceID) []identifier.InstanceID {
	if len(relays) == 0 {
		return nil
	}
	return startingAt(relays, int(xxhash.Sum64String(string(self))%uint64(len(relays))))
}

// startingAt returns all relays, that at the position first.
func startingAt(relays []cataloger.Instance, position int) []identifier.InstanceID {
	ids := make([]identifier.InstanceID, 0, len(relays))
	for i := range relays {
		ids = append(ids, relays[(position+i)%len(relays)].ID)
	}
	return ids
}
