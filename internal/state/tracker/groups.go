package tracker

import (
	"sync"

	"oleanderpulley/internal/state/identifier"
)

// Groups holds one [Group] per service. The zero value is empty. It is safe for
// concurrent use.
type Groups struct {
	groups sync.Map // Keys are identifier.ServiceName, values *Group.
}

// Get returns the group of the service. The first call for a service creates it.
func (gs *Groups) Get(service identifier.ServiceName) *Group {
	if g, ok := gs.groups.Load(service); ok {
		return g.(*Group)
	}
	g, _ := gs.groups.LoadOrStore(service, &Group{})
	return g.(*Group)
}
