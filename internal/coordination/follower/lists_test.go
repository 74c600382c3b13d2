package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// changingStore is a store whose entries are written and removed.
type changingStore struct {
	fakeStore
	records map[identifier.ServiceName]cataloger.Leadership
}

// change applies one change, which has a revision of its own.
func (s *changingStore) change(kind string, name int) {
	s.revision++
	id := fmt.Sprint("x", name)
	switch kind {
	case "configuration":
		s.version++
		s.configurationRevision = s.revision
	case "record":
		s.records[identifier.ServiceName(id)] = cataloger.Leadership{Revision: s.current()}
	case "server", "server left":
		kept := s.servers[:0:0]
		for _, b := range s.servers {
			if string(b.ID) != id {
				kept = append(kept, b)
			}
		}
		if kind == "server" {
			kept = append(kept, cataloger.BackendServer{ID: identifier.BackendServerID(id), Revision: s.current()})
		}
		s.servers = kept
	case "member":
		s.members[identifier.InstanceID(id)] = cataloger.Instance{ID: identifier.InstanceID(id), Revision: s.current()}
	case "evacuation":
		s.evacuations[identifier.DataCentre(id)] = cataloger.Evacuation{Revision: s.current()}
	case "evacuation ended":
		delete(s.evacuations, identifier.DataCentre(id))
	}
}

func newChangingStore() *changingStore {
	return &changingStore{
		fakeStore: fakeStore{
			revision: 5, version: 1, configurationRevision: 3,
			members:     map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x", Revision: cataloger.Revision{Number: 4}}},
			evacuations: map[identifier.DataCentre]cataloger.Evacuation{},
		},
		records: map[identifier.ServiceName]cataloger.Leadership{},
	}
}

// Guards against a catalog that lacks a change, for instance a withdrawn key, because
// the lists that were read seemed to hold all changes.
func TestListsThatAreNotReadHaveNotChanged(t *testing.T) {
	kinds := []string{"configuration", "record", "server", "server left", "member", "evacuation", "evacuation ended"}
	rapid.Check(t, func(t *rapid.T) {
		s := newChangingStore()
		f, h, now := newFollower(&s.fakeStore)
		leaderships := f.Store.Leaderships
		f.Store.Leaderships = func(ctx context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
			_, revision, err := leaderships(ctx)
			return s.records, revision, err
		}
		for range 20 {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				s.change(rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 3).Draw(t, "name"))
			}
			*now += 400 * time.Millisecond
			if err := f.Round(context.Background()); err != nil {
				t.Fatal(err)
			}
			want := cataloger.Catalog{
				Configuration: &cataloger.Configuration{Version: s.version, Revision: cataloger.Revision{Number: s.configurationRevision}},
				Servers:       map[identifier.ServiceName][]cataloger.BackendServer{"rentals": s.servers},
				Instances:     s.members, Leaderships: s.records, Evacuations: s.evacuations,
			}
			if got := h.Catalog(); got.Digest() != want.Digest() || got.Revision != s.current() {
				t.Fatalf("got %+v at revision %s, want %+v at %s", got, got.Revision, want, s.current())
			}
		}
	})
}

// Guards against a root that reads the whole configuration at each change of another
// list: with a large one it moved 2 MB/s while servers were replaced.
func TestConfigurationIsReadOnlyIfItMayHaveChanged(t *testing.T) {
	s := newChangingStore()
	f, _, now := newFollower(&s.fakeStore)
	round := func() int {
		before := s.configurationReads
		*now += 400 * time.Millisecond
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		return s.configurationReads - before
	}
	qt.Assert(t, round(), qt.Equals, 1)
	for _, test := range []struct {
		kinds []string // Of the entries 0, 1 and so on.
		reads int
	}{
		{[]string{"server"}, 0},
		{[]string{"member", "server"}, 0},
		{[]string{"evacuation"}, 0},
		{[]string{"configuration"}, 1},
		{[]string{"server", "configuration"}, 1},
		{[]string{"server left"}, 0},
		{[]string{"server left", "configuration"}, 1},
		{[]string{"evacuation ended"}, 1},
	} {
		for i, kind := range test.kinds {
			s.change(kind, i)
		}
		qt.Check(t, round(), qt.Equals, test.reads, qt.Commentf("%v", test.kinds))
	}
}

// Guards against a withdrawn key that is not seen, because the revision of an unreadable record counts as the change.
func TestUnreadableRecordCoversNoChange(t *testing.T) {
	s := newChangingStore()
	f, h, now := newFollower(&s.fakeStore)
	f.Store.Leaderships = func(context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
		return map[identifier.ServiceName]cataloger.Leadership{"rentals": cataloger.UnreadableLeadership(s.current())}, s.current(), nil
	}
	for range 3 {
		s.change("configuration", 0)
		*now += 400 * time.Millisecond
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		qt.Assert(t, h.Catalog().Configuration.Version, qt.Equals, s.version)
	}
}
