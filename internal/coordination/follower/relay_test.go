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

// Guards against a proof that appears more recent than it is because a relay
// forwarded it, and against a withdrawn key that stays valid on the instances of
// a relay that has lost the store.
func TestRelayedProofKeepsItsAge(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, h, now := newFollower(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	age := 900 * time.Millisecond
	f.Relay = func(context.Context, uint64) (follower.CatalogReply, error) {
		*now += 100 * time.Millisecond // Round trip to the relay.
		return follower.CatalogReply{Proven: true, Age: age}, nil
	}
	s.unavailable = true
	*now += 2 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	got, ok := h.Age()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, age+100*time.Millisecond)
	age = 3 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errUnavailable)
}

// Guards against a relay's older catalog that replaces a newer one, and against
// a catalog that does not contain this instance, which would leave it without a
// share of the rates.
func TestRelayedCatalog(t *testing.T) {
	self := map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}
	for name, test := range map[string]struct {
		catalog cataloger.Catalog
		adopted bool
	}{
		"newer":                   {cataloger.Catalog{Revision: 9, Instances: self, Configuration: &cataloger.Configuration{Version: 8, Revision: 9}}, true},
		"older":                   {cataloger.Catalog{Revision: 4, Instances: self, Configuration: &cataloger.Configuration{Version: 8, Revision: 4}}, false},
		"without this instance":   {cataloger.Catalog{Revision: 9, Configuration: &cataloger.Configuration{Version: 8, Revision: 9}}, false},
		"without a configuration": {cataloger.Catalog{Revision: 9, Instances: self}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 7, configurationRevision: 5}
			f, h, _ := newFollower(s)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			f.Relay = func(context.Context, uint64) (follower.CatalogReply, error) {
				return follower.CatalogReply{Proven: true, Catalog: &test.catalog}, nil
			}
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, h.Catalog().Configuration.Version == 8, qt.Equals, test.adopted)
		})
	}
}

// Guards against a load on the store that grows with the number of instances.
func TestRelaysPerDataCentre(t *testing.T) {
	members := map[identifier.InstanceID]cataloger.Instance{}
	for i := range 139 {
		id := identifier.InstanceID(fmt.Sprint("i", i))
		members[id] = cataloger.Instance{ID: id, DataCentre: identifier.DataCentre(fmt.Sprint("dc", i%3))}
	}
	qt.Assert(t, follower.Relays(members, "dc0"), qt.HasLen, 2)
	qt.Assert(t, follower.Relays(members, "dc9"), qt.HasLen, 0)
}

// Guards against calls of the store for each answer of a relay that is late, and
// against a proof that ends because the relay does not answer at all.
func TestLateRelayIsNotReplacedByTheStore(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration // Of the own proof.
		proven time.Duration // Age after the round.
	}{
		{time.Second, time.Second},
		{1500 * time.Millisecond, 0},
	} {
		t.Run(test.age.String(), func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			f, h, now := newFollower(s)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			f.Relay = func(context.Context, uint64) (follower.CatalogReply, error) {
				return follower.CatalogReply{}, context.DeadlineExceeded
			}
			*now += test.age
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			age, ok := h.Age()
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, age, qt.Equals, test.proven)
		})
	}
}
