package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/fencer"
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
	f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
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
			f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
				return follower.CatalogReply{Proven: true, Catalog: &test.catalog}, nil
			}
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, h.Catalog().Configuration.Version == 8, qt.Equals, test.adopted)
		})
	}
}

// Guards against a load on the store, and on the links between data centres, that
// grows with the number of instances.
func TestParentsFormATree(t *testing.T) {
	members := map[identifier.InstanceID]cataloger.Instance{}
	for i := range 139 {
		id := identifier.InstanceID(fmt.Sprint("i", i))
		members[id] = cataloger.Instance{ID: id, DataCentre: identifier.DataCentre(fmt.Sprint("dc", i%3))}
	}
	roots, relays, children := 0, 0, map[identifier.InstanceID]int{}
	for id, m := range members {
		parent, ok := follower.Parent(members, id)
		if !ok {
			roots++
			continue
		}
		children[parent]++
		if _, isRelay := follower.Parent(members, parent); !isRelay && members[parent].DataCentre != m.DataCentre {
			relays++
			continue
		}
		qt.Assert(t, members[parent].DataCentre, qt.Equals, m.DataCentre)
	}
	qt.Assert(t, roots, qt.Equals, 1)
	qt.Assert(t, relays, qt.Equals, 4)
	qt.Assert(t, len(children), qt.Equals, 6)
}

// Guards against an instance without relays that asks none and never queries the
// store.
func TestSingleInstanceIsItsOwnRoot(t *testing.T) {
	members := map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", DataCentre: "dc0"}}
	_, ok := follower.Parent(members, "one")
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = follower.Parent(nil, "one")
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against an instance that starts with the older configuration of a store
// that came back from a copy, because the peer that knows the newer one is just
// reading its lists again.
func TestStartingInstanceGetsTheCatalogThatIsBeingRead(t *testing.T) {
	f, h, now := newFollower(&fakeStore{})
	*now = time.Second
	h.Replace(&cataloger.Catalog{Configuration: &cataloger.Configuration{Version: 2}})
	h.SetProof(*now)
	reply := f.Answer(follower.CatalogRequest{})
	qt.Assert(t, reply.Proven, qt.IsFalse)
	qt.Assert(t, reply.Catalog.Configuration.Version, qt.Equals, identifier.ConfigVersion(2))
	qt.Assert(t, f.Answer(follower.CatalogRequest{Known: 3}).Catalog, qt.IsNil)
}

// Guards against a relay that sends the whole configuration for each change of
// another list, and against one that omits a configuration that the receiver
// lacks.
func TestRelayOmitsAnUnchangedConfiguration(t *testing.T) {
	restored := cataloger.Revision(1, 4)
	for _, test := range []struct {
		name                  string
		known, configuration  uint64
		revision              uint64
		hasCatalog, hasConfig bool
	}{
		{"nothing changed", 9, 3, 9, false, false},
		{"another list changed", 8, 3, 9, true, false},
		{"configuration changed", 8, 9, 9, true, true},
		{"nothing known", 0, 3, 9, true, true},
		{"store came back without it", restored, 8, restored + 1, true, true},
		{"receiver knows more", 10, 3, 9, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, h, now := newFollower(&fakeStore{})
			*now = time.Second
			h.Replace(&cataloger.Catalog{Revision: test.revision, Configuration: &cataloger.Configuration{Version: 1, Revision: test.configuration}})
			h.SetProof(*now)
			reply := f.Answer(follower.CatalogRequest{Known: test.known})
			qt.Assert(t, reply.Proven, qt.IsTrue)
			qt.Assert(t, reply.Catalog != nil, qt.Equals, test.hasCatalog)
			if reply.Catalog != nil {
				qt.Assert(t, reply.Catalog.Configuration != nil, qt.Equals, test.hasConfig)
			}
		})
	}
}

// Guards against calls of the store for each answer of a relay that is late, and
// against a proof that ends because the relay does not answer at all.
func TestLateRelayIsNotReplacedByTheStore(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration // Of the own proof.
		proven time.Duration // Age after the round.
	}{
		{900 * time.Millisecond, 900 * time.Millisecond},
		{1100 * time.Millisecond, 0},
	} {
		t.Run(test.age.String(), func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			f, h, now := newFollower(s)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
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

// Guards against permits that end because one answer of a relay is late.
func TestPermitsOutlastALateAnswer(t *testing.T) {
	qt.Assert(t, fencer.Validity >= follower.MaxProofAge+follower.RelayTimeout, qt.IsTrue)
}

// Guards against an instance that keeps a removed one, which never confirms an
// announcement and has a share of each rate, until the store changes again: the
// relay stops keeping it without a change of the store.
func TestRemovedInstanceLeavesTheRelayedCatalog(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, members: map[identifier.InstanceID]cataloger.Instance{
		"one": {ID: "one", Address: "x"}, "two": {ID: "two", Address: "y"}, "three": {ID: "three", Address: "z"},
	}}
	relay, _, now := newFollower(s)
	leaf, h, leafNow := newFollower(s)
	leaf.Self = cataloger.Instance{ID: "two", Address: "y"}
	round := func() {
		*now += time.Second
		*leafNow = *now
		qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
		qt.Assert(t, leaf.Round(context.Background()), qt.IsNil)
	}
	round()
	leaf.Relay = func(_ context.Context, request follower.CatalogRequest) (follower.CatalogReply, error) {
		return relay.Answer(request), nil
	}
	delete(s.members, "three")
	s.revision++
	round()
	qt.Assert(t, h.Catalog().Instances, qt.HasLen, 3)
	for range 8 {
		round()
	}
	qt.Assert(t, h.Catalog().Instances, qt.HasLen, 2)
}
