package follower_test

import (
	"context"
	"fmt"
	"slices"
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
		"newer":                   {cataloger.Catalog{Revision: cataloger.Revision{Number: 9}, Instances: self, Configuration: &cataloger.Configuration{Version: 8, Revision: cataloger.Revision{Number: 9}}}, true},
		"older":                   {cataloger.Catalog{Revision: cataloger.Revision{Number: 4}, Instances: self, Configuration: &cataloger.Configuration{Version: 8, Revision: cataloger.Revision{Number: 4}}}, false},
		"without this instance":   {cataloger.Catalog{Revision: cataloger.Revision{Number: 9}, Configuration: &cataloger.Configuration{Version: 8, Revision: cataloger.Revision{Number: 9}}}, false},
		"without a configuration": {cataloger.Catalog{Revision: cataloger.Revision{Number: 9}, Instances: self}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 7, configurationRevision: 5}
			f, h, _ := newFollower(s)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
				return follower.CatalogReply{Proven: true, Update: &cataloger.Update{Catalog: &test.catalog}}, nil
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
		parents := follower.Parents(members, id)
		if len(parents) == 0 {
			roots++
			continue
		}
		qt.Assert(t, slices.Contains(parents, id), qt.IsFalse)
		parent := parents[0]
		children[parent]++
		if isRoot := len(follower.Parents(members, parent)) == 0; isRoot && members[parent].DataCentre != m.DataCentre {
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
	qt.Assert(t, follower.Parents(members, "one"), qt.HasLen, 0)
	qt.Assert(t, follower.Parents(nil, "one"), qt.HasLen, 0)
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
	qt.Assert(t, reply.Update.Catalog.Configuration.Version, qt.Equals, identifier.ConfigVersion(2))
	qt.Assert(t, f.Answer(follower.CatalogRequest{Known: cataloger.Revision{Number: 3}}).Update, qt.IsNil)
}

// Guards against a relay that sends the whole configuration for each change of
// another list, and against one that omits a configuration that the receiver
// lacks.
func TestRelayOmitsAnUnchangedConfiguration(t *testing.T) {
	restored := cataloger.Revision{Era: 1, Number: 4}
	after := func(number uint64) cataloger.Revision { return cataloger.Revision{Number: number} }
	for _, test := range []struct {
		name                  string
		known, configuration  cataloger.Revision
		revision              cataloger.Revision
		hasCatalog, hasConfig bool
	}{
		{"nothing changed", after(9), after(3), after(9), false, false},
		{"another list changed", after(8), after(3), after(9), true, false},
		{"configuration changed", after(8), after(9), after(9), true, true},
		{"nothing known", after(0), after(3), after(9), true, true},
		{"store came back without it", restored, after(8), cataloger.Revision{Era: 1, Number: 5}, true, true},
		{"receiver knows more", after(10), after(3), after(9), false, false},
		{"restored to lower numbers than 2^40", after(1 << 62), after(1 << 61), restored, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, h, now := newFollower(&fakeStore{})
			*now = time.Second
			h.Replace(&cataloger.Catalog{Revision: test.revision, Configuration: &cataloger.Configuration{Version: 1, Revision: test.configuration}})
			h.SetProof(*now)
			reply := f.Answer(follower.CatalogRequest{Known: test.known})
			qt.Assert(t, reply.Proven, qt.IsTrue)
			qt.Assert(t, reply.Update != nil, qt.Equals, test.hasCatalog)
			if reply.Update != nil {
				qt.Assert(t, reply.Update.Catalog.Configuration != nil, qt.Equals, test.hasConfig)
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

// startingFollower returns a follower that is no relay in a fleet of 48, and whose
// relay answers with the catalog.
func startingFollower(s *fakeStore, c *cataloger.Catalog) (*follower.Follower, *cataloger.Holder, *time.Duration) {
	f, h, now := newFollower(s)
	*now = time.Second
	f.Store.Directory = func(context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
		members := map[identifier.InstanceID]cataloger.Instance{}
		for i := range 47 {
			id := identifier.InstanceID(fmt.Sprint("i", i))
			members[id] = cataloger.Instance{ID: id}
		}
		return members, nil
	}
	f.OnDirectory = func(map[identifier.InstanceID]cataloger.Instance) {}
	f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
		return follower.CatalogReply{Proven: true, Age: 100 * time.Millisecond, Update: &cataloger.Update{Catalog: c}}, nil
	}
	return f, h, now
}

// Guards against a store that answers each instance of a fleet that starts with
// the lists of all others.
func TestStartingInstanceReadsNoLists(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, unavailable: true}
	c := &cataloger.Catalog{
		Revision: cataloger.Revision{Number: 5}, Configuration: &cataloger.Configuration{Version: 1, Revision: cataloger.Revision{Number: 3}},
		Instances: map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}},
	}
	f, h, _ := startingFollower(s, c)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	age, ok := h.Age()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 100*time.Millisecond)
	qt.Assert(t, s.configurationReads, qt.Equals, 0)
}

// Guards against an instance that uses a catalog without its own registration,
// and against one that waits long for its relay.
func TestStartingInstanceRegistersAndGivesUpOnItsRelay(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, h, now := startingFollower(s, &cataloger.Catalog{Revision: cataloger.Revision{Number: 5}, Configuration: &cataloger.Configuration{Version: 1, Revision: cataloger.Revision{Number: 3}}})
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, follower.ErrConnecting)
	qt.Assert(t, s.members, qt.HasLen, 1)
	qt.Assert(t, h.Fresh(), qt.IsFalse)
	*now += 700 * time.Millisecond
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
	qt.Assert(t, s.configurationReads, qt.Equals, 1)
}

// Guards against a fleet that starts and whose instances all query the store
// until the operators write the first configuration.
func TestStartingFleetWaitsForItsRelays(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, _, now := startingFollower(s, nil)
	f.FleetStarts = true
	for range 80 {
		*now += 100 * time.Millisecond
		_ = f.Round(context.Background())
	}
	qt.Assert(t, s.members, qt.HasLen, 1)
	qt.Assert(t, s.configurationReads, qt.Equals, 0)
}

// Guards against whole catalogs that go to each instance at each change of the
// fleet, and against an instance whose catalog differs from that of its relay
// after a change: the relay may have read its lists somewhat later than the
// instance did.
func TestRelaySendsChanges(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, members: map[identifier.InstanceID]cataloger.Instance{
		"one": {ID: "one", Address: "x", Revision: cataloger.Revision{Number: 1}}, "two": {ID: "two", Revision: cataloger.Revision{Number: 2}},
	}}
	relay, _, relayNow := newFollower(s)
	child, h, now := newFollower(s)
	*relayNow, *now = time.Second, time.Second
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	var reply follower.CatalogReply
	child.Relay = func(_ context.Context, r follower.CatalogRequest) (follower.CatalogReply, error) {
		reply = relay.Answer(r)
		return reply, nil
	}
	// The copy of the child lacks an instance that the relay has already read at
	// the same revision.
	s.members["three"] = cataloger.Instance{ID: "three", Revision: cataloger.Revision{Number: 6}}
	s.revision = 6
	*relayNow += 10 * time.Second
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	qt.Assert(t, reply.Update.Catalog, qt.IsNil)
	qt.Assert(t, reply.Update.Change.Instances, qt.HasLen, 1)
	qt.Assert(t, h.Catalog().Instances, qt.HasLen, 3)
	qt.Assert(t, h.Catalog().Revision, qt.Equals, cataloger.Revision{Number: 6})

	delete(s.members, "two")
	s.servers = []cataloger.BackendServer{{ID: "a", Revision: cataloger.Revision{Number: 7}}}
	s.revision = 8
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	*relayNow += 10 * time.Second
	s.revision = 9
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"], qt.HasLen, 1)
	qt.Assert(t, h.Catalog().Digest(), qt.Equals, relay.Holder.Catalog().Digest())

	// The configuration alone is newer.
	s.version, s.configurationRevision, s.revision = 2, 10, 10
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	qt.Assert(t, reply.Update.Change.ConfigurationChange.Version, qt.Equals, identifier.ConfigVersion(2))

	child.Holder.Replace(&cataloger.Catalog{Configuration: h.Catalog().Configuration, Revision: cataloger.Revision{Number: 10}})
	s.revision = 11
	qt.Assert(t, relay.Round(context.Background()), qt.IsNil)
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	qt.Assert(t, reply.Update.Catalog, qt.Not(qt.IsNil))
}

// Guards against a fleet in which all instances wait for each other after a loss
// of power: a relay reads the lists at once, and so does each instance of a small
// fleet.
func TestRelaysDoNotWaitToStart(t *testing.T) {
	for name, members := range map[string]map[identifier.InstanceID]cataloger.Instance{
		"small fleet": {"i1": {ID: "i1"}, "i2": {ID: "i2"}},
		"relay":       fleetWithRelay("one"),
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			f, h, _ := startingFollower(s, nil)
			f.Store.Directory = func(context.Context) (map[identifier.InstanceID]cataloger.Instance, error) { return members, nil }
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, h.Fresh(), qt.IsTrue)
		})
	}
}

// fleetWithRelay returns a fleet in which the instance is the only one of its data
// centre.
func fleetWithRelay(id identifier.InstanceID) map[identifier.InstanceID]cataloger.Instance {
	members := map[identifier.InstanceID]cataloger.Instance{id: {ID: id}}
	for i := range 47 {
		other := identifier.InstanceID(fmt.Sprint("i", i))
		members[other] = cataloger.Instance{ID: other, DataCentre: "other"}
	}
	return members
}

// Guards against a store that is flooded while it is away, or while all relays of
// a data centre are turned away: each instance queried it four times a second.
func TestInstancesFallBackInTurn(t *testing.T) {
	for _, test := range []struct{ instances, most int }{{5, 22}, {60, 2}} {
		members := map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}
		for i := range test.instances - 1 {
			id := identifier.InstanceID(fmt.Sprint("i", i))
			members[id] = cataloger.Instance{ID: id}
		}
		calls := 0
		s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, members: members}
		f, h, now := newFollower(s)
		*now = time.Second
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		qt.Assert(t, slices.Contains(follower.Parents(members, "one"), "one"), qt.IsFalse)
		qt.Assert(t, len(follower.Parents(members, "one")) > 0, qt.IsTrue)
		leaderships := f.Store.Leaderships
		f.Store.Leaderships = func(ctx context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
			calls++
			return leaderships(ctx)
		}
		s.unavailable = true
		f.Relay = func(context.Context, follower.CatalogRequest) (follower.CatalogReply, error) {
			return follower.CatalogReply{}, nil
		}
		for range 80 { // 20 s.
			*now += 250 * time.Millisecond
			_ = f.Round(context.Background())
		}
		qt.Check(t, calls >= 1 && calls <= test.most, qt.IsTrue, qt.Commentf("%d instances: %d calls", test.instances, calls))
		qt.Check(t, h.Fresh(), qt.IsFalse)
		s.unavailable = false
		for range 40 {
			*now += 250 * time.Millisecond
			_ = f.Round(context.Background())
		}
		qt.Check(t, h.Fresh() || test.instances > 5, qt.IsTrue)
	}
}
