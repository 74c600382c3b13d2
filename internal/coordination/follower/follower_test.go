package follower_test

import (
	"context"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var errAway = errors.New("store is away")

// source is a store that can be told to fail.
type source struct {
	revision uint64
	version  identifier.ConfigVersion
	changed  uint64 // Revision of the configuration.
	away     bool
	listAway bool
	reads    int
	members  map[identifier.InstanceID]cataloger.Member
	servers  []cataloger.BackendServer

	joinAnswerLost bool // Of the next registration, which is executed.
}

func (s *source) store() follower.Store {
	return follower.Store{
		Revision: func(context.Context) (uint64, error) {
			if s.away {
				return 0, errAway
			}
			return s.revision, nil
		},
		Configuration: func(context.Context) (*cataloger.Configuration, uint64, error) {
			if s.away {
				return nil, 0, errAway
			}
			s.reads++
			return &cataloger.Configuration{Version: s.version, Revision: s.changed}, s.revision, nil
		},
		Servers: func(context.Context) (map[identifier.ServiceName][]cataloger.BackendServer, uint64, error) {
			if s.listAway {
				return nil, 0, errAway
			}
			all := map[identifier.ServiceName][]cataloger.BackendServer{}
			all["rentals"] = append(all["rentals"], s.servers...)
			return all, s.revision, nil
		},
		Members: func(context.Context) (map[identifier.InstanceID]cataloger.Member, uint64, error) {
			return maps.Clone(s.members), s.revision, nil
		},
		Join: func(_ context.Context, m cataloger.Member) (bool, error) {
			if s.joinAnswerLost {
				s.joinAnswerLost = false
				s.members = map[identifier.InstanceID]cataloger.Member{m.ID: m}
				return true, errAway
			}
			if s.away {
				return false, errAway // Turned away: not executed.
			}
			_, known := s.members[m.ID]
			if !known {
				s.members = map[identifier.InstanceID]cataloger.Member{m.ID: m}
				s.revision++
			}
			return !known, nil
		},
	}
}

func follow(s *source) (*follower.Follower, *cataloger.Holder, *time.Duration) {
	now := new(time.Duration)
	h := &cataloger.Holder{Now: func() time.Duration { return *now }, MaxAge: 4 * time.Second}
	return &follower.Follower{Store: s.store(), Holder: h, Self: cataloger.Member{ID: "one", Address: "x"}}, h, now
}

// Guards against keys that are honoured on the word of a store that has not
// answered, and against a suspended instance that takes its proof for fresh.
func TestProofAgesWhileTheStoreIsAway(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3}
	f, h, now := follow(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
	s.away = true
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errAway)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
	*now++
	qt.Assert(t, h.Fresh(), qt.IsFalse)
	s.away = false
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Fresh(), qt.IsTrue)
}

// Guards against calls for lists that have not changed.
func TestUnchangedRevisionReadsNothing(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3}
	f, _, _ := follow(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil) // Sees its own registration.
	reads := s.reads
	for range 10 {
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	}
	qt.Assert(t, s.reads, qt.Equals, reads)
}

// Guards against a configuration that reverts because an older answer came
// later.
func TestConfigurationNeverReverts(t *testing.T) {
	s := &source{revision: 5, version: 7, changed: 5}
	f, h, _ := follow(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.revision, s.version, s.changed = 9, 6, 4
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Configuration.Version, qt.Equals, identifier.ConfigVersion(7))
}

// Guards against a change that is missed because the round that saw it failed
// halfway, and against an instance that serves before it is registered, whose
// first operations are refused for the rate.
func TestFailedRoundIsRepeated(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3}
	f, h, _ := follow(s)
	s.listAway = true
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errAway)
	qt.Assert(t, h.Fresh(), qt.IsFalse) // It has no part of any rate yet.
	s.listAway = false
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Members, qt.HasLen, 1)
}

// Guards against an instance without any backend server after an outage of the
// store, in which the entries of all servers lapsed, and against a server that
// is gone being used for long.
func TestLapsedServersAreKeptForAMoment(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3, servers: []cataloger.BackendServer{{ID: "a"}, {ID: "b"}}}
	f, h, now := follow(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.away = true
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errAway)
	s.away, s.servers, s.revision = false, []cataloger.BackendServer{{ID: "b"}}, 8
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

// Guards against the part of a rate of a removed instance being spent twice, by
// it and by those that take it over, while it has not seen its removal.
func TestRemovedInstanceIsKeptWhileItMayServe(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3, members: map[identifier.InstanceID]cataloger.Member{
		"one": {ID: "one", Address: "x"}, "two": {ID: "two", Address: "y"},
	}}
	f, h, now := follow(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.members, s.revision = map[identifier.InstanceID]cataloger.Member{"one": {ID: "one", Address: "x"}}, 6
	for range 4 {
		*now += time.Second
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		qt.Assert(t, h.Catalog().Members, qt.HasLen, 2)
	}
	*now += 4 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Members, qt.HasLen, 1)
}

// Guards against a leaving server that gets statements for its whole time again
// after an outage of the store in which it announced that it leaves (DRAIN on a
// mix of obiseda-pool, seed 653060357361: 8.7 s).
func TestDrainCountsFromTheLastProof(t *testing.T) {
	s := &source{revision: 5, version: 1, changed: 3, servers: []cataloger.BackendServer{{ID: "a"}}}
	f, h, now := follow(s)
	*now = time.Second
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.away = true
	*now += 3 * time.Second
	qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, errAway)
	s.away, s.servers, s.revision = false, []cataloger.BackendServer{{ID: "a", Draining: true}}, 8
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	since := h.Catalog().Servers["rentals"][0].DrainingSince
	qt.Assert(t, since.IsZero(), qt.IsFalse)
	qt.Assert(t, time.Since(since) >= 3*time.Second, qt.IsTrue)
	s.revision = 9
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Servers["rentals"][0].DrainingSince, qt.Equals, since)
}

// Guards against an instance that takes a part of the rates before the others
// know of it, also where the answer to its registration was lost, and against
// one that loses its part though it was registered all the time.
func TestNewRegistrationIsTold(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*source)
		want    int
	}{
		"new":         {func(*source) {}, 1},
		"answer lost": {func(s *source) { s.joinAnswerLost = true }, 1},
		"restart in an outage": {func(s *source) {
			s.members = map[identifier.InstanceID]cataloger.Member{"one": {ID: "one", Address: "x"}}
		}, 0},
		"restart": {func(s *source) {
			s.members = map[identifier.InstanceID]cataloger.Member{"one": {ID: "one", Address: "x"}}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &source{revision: 5, version: 1, changed: 3}
			test.prepare(s)
			f, h, _ := follow(s)
			told := 0
			f.OnJoin = func() { told++ }
			s.away = name == "restart in an outage"
			_ = f.Round(context.Background())
			s.away = false
			for range 3 {
				_ = f.Round(context.Background()) // The first one fails where the answer is lost.
			}
			qt.Assert(t, told, qt.Equals, test.want)
			qt.Assert(t, h.Fresh(), qt.IsTrue)
		})
	}
}
