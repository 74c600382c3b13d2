package follower

import (
	"slices"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// maxParents is the number of relays, or roots, that are asked before other
	// candidates.
	maxParents = 2
	// ownPerForeign is the number of candidates of the own data centre for each one
	// of another data centre, in the order of an instance that is no relay.
	ownPerForeign = 3
	// relaysPerOwn is the number of other relays for each candidate of the own data
	// centre, in the order of a relay.
	relaysPerOwn = 2
)

// Candidates are the instances that one instance can ask for a proof, in order.
type Candidates struct {
	order   []identifier.InstanceID // The parents first. Includes the instance itself, at its place.
	parents int
	isRelay bool
	isNear  map[identifier.InstanceID]bool // Of the same data centre.

	isTreeParent map[identifier.InstanceID]bool // Includes the parents that are asked later.
}

// NewCandidates returns the candidates of an instance. After the parents, an
// instance asks the next ones in rank of its data centre, with some relays of
// others among them; a relay asks the next relays in rank, with some instances of
// its data centre among them.
func NewCandidates(members map[identifier.InstanceID]cataloger.Instance, self identifier.InstanceID) Candidates {
	return newTree(members).candidates(self)
}

func (t *tree) candidates(self identifier.InstanceID) Candidates {
	dataCentre := t.members[self].DataCentre
	own, local := t.byDataCentre[dataCentre], t.relaysOf(dataCentre)
	parents := t.parents(self)
	c := Candidates{order: parents[:min(maxParents, len(parents))], isRelay: containsInstance(local, self), isNear: map[identifier.InstanceID]bool{}, isTreeParent: map[identifier.InstanceID]bool{}}
	for _, id := range parents {
		c.isTreeParent[id] = true
	}
	for _, m := range own {
		c.isNear[m.ID] = true
	}
	c.parents = len(c.order)
	var relays []cataloger.Instance
	for d := range t.byDataCentre {
		if c.isRelay || d != dataCentre {
			relays = append(relays, t.relaysOf(d)...)
		}
	}
	sortByRank(relays)
	if c.isRelay {
		c.order = interleave(c.order, idsOf(relays), idsOf(own[len(local):]), relaysPerOwn)
	} else {
		c.order = interleave(c.order, idsOf(own), rotate(relays, self), ownPerForeign)
	}
	return c
}

func (c Candidates) isParent(id identifier.InstanceID) bool {
	return slices.Contains(c.order[:c.parents], id)
}

// interleave appends the first list to the order, with one entry of the second
// list after each few of the first, and without those that are in the order
// already.
func interleave(order, first, second []identifier.InstanceID, few int) []identifier.InstanceID {
	known := map[identifier.InstanceID]bool{}
	for _, id := range order {
		known[id] = true
	}
	add := func(ids []identifier.InstanceID) {
		for _, id := range ids {
			if !known[id] {
				known[id] = true
				order = append(order, id)
			}
		}
	}
	for len(first)+len(second) > 0 {
		n, m := min(few, len(first)), min(1, len(second))
		add(first[:n])
		add(second[:m])
		first, second = first[n:], second[m:]
	}
	return order
}

func idsOf(instances []cataloger.Instance) []identifier.InstanceID {
	ids := make([]identifier.InstanceID, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	return ids
}
