package tracker

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Groups holds one [Group] per service. The zero value is empty. It is safe for
// concurrent use.
type Groups struct {
	// LastWake returns a time after the end of the last suspension of the host, as
	// [WakeDetector.LastWake] does. Nil means that there was none.
	LastWake func() time.Time

	groups sync.Map // Keys are identifier.ServiceName, values *Group.
}

// Get returns the group of the service. The first call for a service creates it.
func (gs *Groups) Get(service identifier.ServiceName) *Group {
	if g, ok := gs.groups.Load(service); ok {
		return g.(*Group)
	}
	g, _ := gs.groups.LoadOrStore(service, &Group{lastWake: gs.LastWake})
	return g.(*Group)
}
