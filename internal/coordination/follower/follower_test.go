package follower_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var errUnavailable = errors.New("store is unavailable")

// fakeStore simulates a store whose calls can be made to fail.
type fakeStore struct {
	era, revision         uint64 // Of the newest change.
	version               identifier.ConfigVersion
	configurationRevision uint64
	unavailable           bool
	serversUnavailable    bool
	configurationReads    int
	members               map[identifier.InstanceID]cataloger.Instance
	servers               []cataloger.BackendServer
	evacuations           map[identifier.DataCentre]cataloger.Evacuation

	joinAnswerLost bool // Of the next registration, which is nevertheless executed.
}

// current returns the revision of the newest change.
func (s *fakeStore) current() cataloger.Revision {
	return cataloger.Revision{Era: s.era, Number: s.revision}
}

func (s *fakeStore) store() follower.Store {
	return follower.Store{
		Revision: func(context.Context) (cataloger.Revision, error) {
			if s.unavailable {
				return cataloger.Revision{}, errUnavailable
			}
			return s.current(), nil
		},
		Leaderships: func(context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
			if s.unavailable {
				return nil, cataloger.Revision{}, errUnavailable
			}
			return nil, s.current(), nil
		},
		Configuration: func(context.Context) (*cataloger.Configuration, cataloger.Revision, error) {
			if s.unavailable {
				return nil, cataloger.Revision{}, errUnavailable
			}
			s.configurationReads++
			return &cataloger.Configuration{Version: s.version, Revision: cataloger.Revision{Number: s.configurationRevision}}, s.current(), nil
		},
		Servers: func(context.Context) (map[identifier.ServiceName][]cataloger.BackendServer, cataloger.Revision, error) {
			if s.serversUnavailable {
				return nil, cataloger.Revision{}, errUnavailable
			}
			servers := map[identifier.ServiceName][]cataloger.BackendServer{}
			servers["rentals"] = append(servers["rentals"], s.servers...)
			return servers, s.current(), nil
		},
		Evacuations: func(context.Context) (map[identifier.DataCentre]cataloger.Evacuation, cataloger.Revision, error) {
			return maps.Clone(s.evacuations), s.current(), nil
		},
		Members: func(context.Context) (map[identifier.InstanceID]cataloger.Instance, cataloger.Revision, error) {
			return maps.Clone(s.members), s.current(), nil
		},
		Join: func(_ context.Context, m cataloger.Instance) (bool, error) {
			if s.joinAnswerLost {
				s.joinAnswerLost = false
				s.members = map[identifier.InstanceID]cataloger.Instance{m.ID: m}
				return true, errUnavailable
			}
			if s.unavailable {
				return false, errUnavailable // Refused, not executed.
			}
			_, registered := s.members[m.ID]
			if !registered {
				s.members = map[identifier.InstanceID]cataloger.Instance{m.ID: m}
				s.revision++
			}
			return !registered, nil
		},
	}
}

func newFollower(s *fakeStore) (*follower.Follower, *cataloger.Holder, *time.Duration) {
	now := new(time.Duration)
	h := &cataloger.Holder{Now: func() time.Duration { return *now }, MaxAge: 4 * time.Second}
	return &follower.Follower{Store: s.store(), Holder: h, Self: cataloger.Instance{ID: "one", Address: "x"}}, h, now
}

// Guards against keys that are accepted although the store has not confirmed the
// catalog recently, and against an instance that was suspended and still
// considers its proof recent.
func TestProofAgesWhileTheStoreIsUnavailable(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, h, now := newFollower(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
	s.unavailable = true
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errUnavailable)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
	*now++
	qt.Assert(t, h.Fresh(), qt.IsFalse)
	s.unavailable = false
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
}

// Guards against an instance that never serves without a line that names the cause: its
// store has answered from the start on, but with nothing that could be used.
func TestStoreThatWasNeverReachedIsLogged(t *testing.T) {
	s := &fakeStore{unavailable: true}
	f, _, _ := newFollower(s)
	var log bytes.Buffer
	f.Logger = zerolog.New(&log)
	f.Period = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	rounds := 0
	join := f.Store.Join
	f.Store.Join = func(ctx context.Context, m cataloger.Instance) (bool, error) {
		if rounds++; rounds == 9 {
			cancel()
		}
		return join(ctx, m)
	}
	f.Run(ctx)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	qt.Assert(t, lines, qt.HasLen, 4, qt.Commentf("failures 1, 2, 4 and 8: %s", log.String()))
	for _, line := range lines {
		qt.Assert(t, line, qt.Contains, `"event":"store_lost"`)
		qt.Assert(t, line, qt.Contains, errUnavailable.Error())
	}
}

// Guards against reading lists that have not changed.
func TestUnchangedRevisionReadsNothing(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, _, _ := newFollower(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil) // Sees its own registration.
	reads := s.configurationReads
	for range 10 {
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	}
	qt.Assert(t, s.configurationReads, qt.Equals, reads)
}

// Guards against a configuration that reverts because an older answer arrives
// later.
func TestConfigurationNeverReverts(t *testing.T) {
	s := &fakeStore{revision: 5, version: 7, configurationRevision: 5}
	f, h, _ := newFollower(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.revision, s.version, s.configurationRevision = 9, 6, 4
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Configuration.Version, qt.Equals, identifier.ConfigVersion(7))
}

// Guards against a change that is missed because the round that read it failed
// before its end, and against an instance that serves before it is registered:
// it has no share of the rates, so its first operations would be refused.
func TestFailedRoundIsRepeated(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
	f, h, _ := newFollower(s)
	s.serversUnavailable = true
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errUnavailable)
	qt.Assert(t, h.Fresh(), qt.IsFalse) // It has no share of any rate yet.
	s.serversUnavailable = false
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Instances, qt.HasLen, 1)
}

// Guards against an instance without backend servers after an outage of the
// store in which the entries of all servers lapsed, and against the prolonged
// use of a server that has left.
func TestLapsedServersAreKeptForAMoment(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, servers: []cataloger.BackendServer{{ID: "a"}, {ID: "b"}}}
	f, h, now := newFollower(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.unavailable = true
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errUnavailable)
	s.unavailable, s.servers, s.revision = false, []cataloger.BackendServer{{ID: "b"}}, 8
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"], qt.HasLen, 2)
	*now += 2 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"], qt.HasLen, 2)
	*now += time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"], qt.HasLen, 1)
	s.servers, s.revision = nil, 9
	*now += time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"], qt.HasLen, 0)
}

// Guards against a share of a rate that is spent twice while a removed instance
// has not seen its removal: by it and by the instances that take over the share.
func TestRemovedInstanceIsKeptWhileItMayServe(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, members: map[identifier.InstanceID]cataloger.Instance{
		"one": {ID: "one", Address: "x"}, "two": {ID: "two", Address: "y"},
	}}
	f, h, now := newFollower(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.members, s.revision = map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}, 6
	for range 4 {
		*now += time.Second
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		qt.Assert(t, h.Catalog().Instances, qt.HasLen, 2)
	}
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Instances, qt.HasLen, 1)
}

// Guards against a draining server whose grace period restarts after an outage
// of the store during which it began to drain, so that it is sent statements for
// too long.
func TestDrainCountsFromTheLastProof(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, servers: []cataloger.BackendServer{{ID: "a"}}}
	f, h, now := newFollower(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.unavailable = true
	*now += 3 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errUnavailable)
	s.unavailable, s.servers, s.revision = false, []cataloger.BackendServer{{ID: "a", Draining: true}}, 8
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	since := h.Catalog().Servers["rentals"][0].DrainingSince
	qt.Assert(t, since.IsZero(), qt.IsFalse)
	qt.Assert(t, time.Since(since) >= 3*time.Second, qt.IsTrue)
	s.revision = 9
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"][0].DrainingSince, qt.Equals, since)
}

// Guards against an instance that uses a share of the rates before the others
// have read its registration, also if the answer to the registration was lost,
// and against one that loses its share although it stayed registered.
func TestOnJoinIsCalledForNewRegistrations(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*fakeStore)
		want    int
	}{
		"new":         {func(*fakeStore) {}, 1},
		"answer lost": {func(s *fakeStore) { s.joinAnswerLost = true }, 1},
		"restart in an outage": {func(s *fakeStore) {
			s.members = map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}
		}, 0},
		"restart": {func(s *fakeStore) {
			s.members = map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			test.prepare(s)
			f, h, _ := newFollower(s)
			calls := 0
			f.OnJoin = func() { calls++ }
			s.unavailable = name == "restart in an outage"
			_ = f.Round(context.Background())
			s.unavailable = false
			for range 3 {
				_ = f.Round(context.Background()) // The first fails if the answer to the registration is lost.
			}
			qt.Assert(t, calls, qt.Equals, test.want)
			qt.Assert(t, h.Fresh(), qt.IsTrue)
		})
	}
}

// Guards against calls of the store that are not needed: a round without a change
// takes one call, and the list of leadership records serves as the query for the
// revision as long as it is short.
func TestRoundsWithoutAChangeTakeOneCall(t *testing.T) {
	for _, test := range []struct {
		name                        string
		records                     int
		probes, leaderships, others int
	}{
		{"few records", 3, 0, 10, 0},
		{"many records", 100, 10, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			f, _, _ := newFollower(s)
			records := map[identifier.ServiceName]cataloger.Leadership{}
			for i := range test.records {
				records[identifier.ServiceName(fmt.Sprint("service-", i))] = cataloger.Leadership{Term: 2, Revision: cataloger.Revision{Number: 4}}
			}
			probes, lists := 0, 0
			revision := f.Store.Revision
			f.Store.Revision = func(ctx context.Context) (cataloger.Revision, error) {
				probes++
				return revision(ctx)
			}
			f.Store.Leaderships = func(context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
				lists++
				return records, s.current(), nil
			}
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			probes, lists, s.configurationReads = 0, 0, 0
			for range 10 {
				qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			}
			qt.Assert(t, []int{probes, lists, s.configurationReads}, qt.DeepEquals, []int{test.probes, test.leaderships, test.others})
		})
	}
}

// Guards against reading all lists after each write of a replacement, and against
// missing another change that was made between two of them.
func TestOnlyChangedRecordsAreRead(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes uint64
		reads   int
	}{
		{"one record", 1, 0},
		{"one record and something else", 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
			f, h, _ := newFollower(s)
			record := cataloger.Leadership{Term: 2, Revision: cataloger.Revision{Number: 4}}
			f.Store.Leaderships = func(context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
				return map[identifier.ServiceName]cataloger.Leadership{"rentals": record}, s.current(), nil
			}
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			s.configurationReads = 0
			record.Holder, record.Revision = "two", cataloger.Revision{Number: s.revision + 1}
			s.revision += test.changes
			qt.Assert(t, f.Round(context.Background()), qt.IsNil)
			qt.Assert(t, s.configurationReads, qt.Equals, test.reads)
			qt.Assert(t, h.Catalog().Leaderships["rentals"], qt.Equals, record)
			qt.Assert(t, h.Catalog().Revision, qt.Equals, s.current())
		})
	}
}
