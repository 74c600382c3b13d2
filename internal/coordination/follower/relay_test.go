package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a proof that seems younger than it is because a relay passed
// it on, and against a withdrawn key that lives on behind a relay without the
// store.
func TestRelayedProofKeepsItsAge(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3}
	f, h, now := follow(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	age := 900 * time.Millisecond
	f.Relay = func(context.Context, uint64) (follower.Relayed, error) {
		*now += 100 * time.Millisecond // The way there and back.
		return follower.Relayed{Proven: true, Age: age}, nil
	}
	s.away = true
	*now += 2 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	got, ok := h.Age()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, age+100*time.Millisecond)
	age = 3 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errAway)
}

// Guards against a relay's older catalog replacing a newer one, and against one
// in which this instance owns nothing.
func TestRelayedCatalog(t *testing.T) {
	self := map[identifier.InstanceID]cataloger.Member{"one": {ID: "one", Address: "x"}}
	for name, test := range map[string]struct {
		catalog cataloger.Catalog
		taken   bool
	}{
		"newer": {cataloger.Catalog{Revision: 9, Members: self, Configuration: &cataloger.Configuration{Version: 8, Revision: 9}}, true},
		"older": {cataloger.Catalog{Revision: 4, Members: self, Configuration: &cataloger.Configuration{Version: 8, Revision: 4}}, false},
		"alien": {cataloger.Catalog{Revision: 9, Configuration: &cataloger.Configuration{Version: 8, Revision: 9}}, false},
		"half":  {cataloger.Catalog{Revision: 9, Members: self}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &source{revision: 5, version: 7, changed: 5}
			f, h, _ := follow(s)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			f.Relay = func(context.Context, uint64) (follower.Relayed, error) {
				return follower.Relayed{Proven: true, Catalog: &test.catalog}, nil
			}
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, h.Catalog().Configuration.Version == 8, qt.Equals, test.taken)
		})
	}
}

// Guards against calls to the store that grow with the fleet.
func TestRelaysAreFew(t *testing.T) {
	members := map[identifier.InstanceID]cataloger.Member{}
	for i := range 139 {
		id := identifier.InstanceID(fmt.Sprint("i", i))
		members[id] = cataloger.Member{ID: id, DataCentre: identifier.DataCentre(fmt.Sprint("dc", i%3))}
	}
	qt.Assert(t, follower.Relays(members, "dc0"), qt.HasLen, 2)
	qt.Assert(t, follower.Relays(members, "dc9"), qt.HasLen, 0)
}
