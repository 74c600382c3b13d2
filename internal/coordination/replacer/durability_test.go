package replacer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// newSyncService returns a fake service with synchronous replication to one
// replica.
func newSyncService() (*fakeService, *Replacer) {
	s := newFakeService()
	s.catalog.Configuration.Services = map[identifier.ServiceName]cataloger.Service{"rentals": {SyncReplicas: 1}}
	for i, b := range s.catalog.Servers["rentals"] {
		s.catalog.Servers["rentals"][i].Address = "at-" + string(b.ID)
	}
	s.lastLed = time.Now()
	return s, s.syncReplacer()
}

// syncReplacer returns the replacer of an instance that has just started.
func (s *fakeService) syncReplacer() *Replacer {
	r := s.replacer()
	r.Watchers = func(identifier.ServiceName) []identifier.InstanceID { return []identifier.InstanceID{"one"} }
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		return s.leader, s.term, s.lastLed // The id of a primary that does not lead any more is not known.
	}
	return r
}

// removeEntry makes a server fail and removes its registration.
func (s *fakeService) removeEntry(id identifier.BackendServerID) {
	s.down[id] = true
	s.catalog.Servers["rentals"] = slices.DeleteFunc(slices.Clone(s.catalog.Servers["rentals"]),
		func(b cataloger.BackendServer) bool { return b.ID == id })
}

// failPrimary makes the primary a fail and returns the calls of the check that
// follows.
func (s *fakeService) failPrimary(r *Replacer, w *serviceWatch) []string {
	s.down["a"], s.leader = true, ""
	w.silentSince, w.pausedUntil = silentLongEnough(), time.Time{}
	return s.check(r, w)
}

// Guards against the loss of acknowledged commits (review/1): a draining replica,
// which alone had all of them, was counted as one of those that have them, but a
// replica that was behind was promoted.
func TestDrainingReplicaWithAllCommitsIsPromoted(t *testing.T) {
	for name, mark := range map[string]func(*cataloger.BackendServer){
		"draining":  func(b *cataloger.BackendServer) { b.Draining = true },
		"evacuated": func(b *cataloger.BackendServer) { b.Evacuated, b.EvacuatedSince = true, time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			s, r := newSyncService()
			mark(&s.catalog.Servers["rentals"][2])
			w := &serviceWatch{}
			qt.Assert(t, s.failPrimary(r, w), qt.DeepEquals, replacementOfA(11))
			s.lastLed = time.Now()
			s.check(r, w) // It hands its log over to the other replica.
			qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("b"))
			qt.Assert(t, s.received["b"], qt.Equals, uint64(8))
		})
	}
}

// Guards against the loss of acknowledged commits: a server whose registration still
// said that it was the primary, as it was before an earlier replacement, was taken
// for the one that has all of them and not counted as a replica.
func TestClaimOfAnEarlierPrimaryDoesNotCount(t *testing.T) {
	for name, silent := range map[string]identifier.BackendServerID{"answers": "c", "silent": "b"} {
		t.Run(name, func(t *testing.T) {
			s, r := newSyncService()
			s.stored = cataloger.Leadership{Term: 1, Server: "a", Revision: cataloger.Revision{Number: 10}}
			s.known = s.stored
			s.catalog.Servers["rentals"][1].ClaimsPrimary = true // b, which is behind c.
			s.received["b"], s.received["c"] = 7, 8
			if silent == "b" {
				s.received["b"], s.received["c"] = 8, 7
			}
			s.down[silent] = true
			w := &serviceWatch{term: 1}
			calls := s.failPrimary(r, w)
			qt.Assert(t, calls, qt.DeepEquals, []string{"announce 11 ", "two confirms 11", "grant a in term 1"})
			s.down[silent] = false
			w.pausedUntil = time.Time{}
			s.check(r, w)
			qt.Assert(t, s.leader, qt.Equals, silent)
		})
	}
}

// Guards against the loss of acknowledged commits when the replica that alone has them
// fails together with the primary, and its registration expires first: the servers
// that were left were taken for all of the group, also by an instance that started
// later or had not used the service (review/8).
func TestReplicaThatFailedWithThePrimaryIsWaitedFor(t *testing.T) {
	type instance = func(*fakeService, *Replacer, *serviceWatch) (*Replacer, *serviceWatch)
	restarted := func(s *fakeService, _ *Replacer, _ *serviceWatch) (*Replacer, *serviceWatch) {
		s.lastLed = time.Time{}
		return s.syncReplacer(), &serviceWatch{}
	}
	for name, decides := range map[string]instance{
		"instance that ran throughout": func(_ *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) { return r, w },
		"instance that started later":  restarted,
		"instance that did not use the service": func(_ *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) {
			w.members.observed = w.members.observed.Add(-memberMemory - time.Second)
			return r, w
		},
		"store from an older copy": func(s *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) {
			s.group = cataloger.DatabaseGroup{Members: s.group.Members[:2], Revision: cataloger.Revision{Era: 1, Number: 1}}
			r.Era = func() uint64 { return 1 }
			s.era = 1
			return r, w
		},
		"group that was never recorded": func(s *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) {
			s.group = cataloger.DatabaseGroup{}
			return restarted(s, r, w)
		},
		"group that cannot be read": func(s *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) {
			s.groupErr = ErrGroupUnreadable
			return restarted(s, r, w)
		},
		"store that does not answer": func(s *fakeService, r *Replacer, w *serviceWatch) (*Replacer, *serviceWatch) {
			s.groupErr = errDown
			return restarted(s, r, w)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, r := newSyncService()
			w := &serviceWatch{}
			s.check(r, w)
			group, entries := s.group, s.catalog.Servers["rentals"]
			withheld := func(check func(*Replacer, *serviceWatch) []string) {
				revision := s.revision + 1
				qt.Assert(t, check(r, w), qt.DeepEquals, []string{
					fmt.Sprintf("announce %d ", revision), fmt.Sprintf("two confirms %d", revision), "grant  in term 0",
				})
			}
			s.removeEntry("c")
			withheld(s.failPrimary)
			s.removeEntry("a")
			r, w = decides(s, r, w)
			w.silentSince, w.pausedUntil = silentLongEnough(), time.Time{}
			withheld(s.check)
			s.catalog.Servers["rentals"], s.down["c"] = entries, false
			if s.groupErr != nil {
				s.group, s.groupErr = group, nil
			}
			w.pausedUntil, w.silentSince = time.Time{}, silentLongEnough()
			s.check(r, w)
			qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("c"))
		})
	}
}

// Guards against a service without a primary because a replica is waited for that
// has left for good while the primary led, and against one that is not waited for although
// it may alone have commits: it is cut off from the store alone, or the others are behind.
func TestReplicaThatLeftIsWaitedForWhileItIsNeeded(t *testing.T) {
	leave := func(s *fakeService, w *serviceWatch) {
		s.removeEntry("c")
		sighting := w.members.sightings["c"]
		sighting.at = sighting.at.Add(-departureGrace - time.Second)
		w.members.sightings["c"] = sighting
		s.lastLed = time.Now()
	}
	for _, test := range []struct {
		name    string
		leave   func(*fakeService, *serviceWatch)
		updates int // Attempts to update the group before the primary fails.
		waited  bool
	}{
		{"replaced at its address", func(s *fakeService, _ *serviceWatch) {
			s.removeEntry("c")
			s.catalog.Servers["rentals"] = append(s.catalog.Servers["rentals"], cataloger.BackendServer{ID: "d", Service: "rentals", Address: "at-c"})
			s.received["d"] = s.received["c"]
		}, 1, false},
		{"gone, the other one has all commits", leave, 3, false},
		{"gone just now", func(s *fakeService, _ *serviceWatch) { s.removeEntry("c") }, 3, true},
		{"gone, the other one is behind", func(s *fakeService, w *serviceWatch) {
			leave(s, w)
			s.lagging = true
		}, 3, true},
		{"cut off from the store alone", func(s *fakeService, w *serviceWatch) {
			leave(s, w)
			s.down["c"] = false
		}, 3, true},
	} {
		for name, restarts := range map[string]bool{"": false, ", instance that started later": true} {
			t.Run(test.name+name, func(t *testing.T) {
				s, r := newSyncService()
				w := &serviceWatch{}
				s.check(r, w)
				test.leave(s, w)
				for range test.updates {
					w.members.triedAt = time.Time{}
					s.check(r, w)
				}
				if restarts {
					r, w = s.syncReplacer(), &serviceWatch{}
				}
				s.down["c"] = true
				s.failPrimary(r, w)
				qt.Assert(t, s.leader == "", qt.Equals, test.waited)
			})
		}
	}
}

// Guards against a service without a primary because an instance that continues a replacement waits for a server whose
// address and log another one has.
func TestContinuedReplacementKnowsWhoHasWhoseLog(t *testing.T) {
	s, r := newSyncService()
	s.check(r, &serviceWatch{})
	s.removeEntry("c")
	s.catalog.Servers["rentals"] = append(s.catalog.Servers["rentals"], cataloger.BackendServer{ID: "d", Service: "rentals", Address: "at-c"})
	p := &replacement{service: "rentals", record: cataloger.Leadership{Holder: "one", Revision: cataloger.Revision{Number: 11}}, members: &memberHistory{}}
	g, err := s.syncReplacer().replicaGroup(t.Context(), p)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.replicas, qt.DeepEquals, []identifier.BackendServerID{"b", "d"})
	qt.Assert(t, g.primary, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against a service that is not served although its failed primary is back
// and has every commit, like a primary that has stepped down for a hand-over that
// nobody has completed.
func TestFormerPrimaryHasAllCommits(t *testing.T) {
	s, r := newSyncService()
	s.stored = cataloger.Leadership{Term: 1, Server: "a", Revision: cataloger.Revision{Number: 10}}
	s.known = s.stored
	s.catalog.Servers["rentals"][0].ClaimsPrimary = false
	s.leader, s.down["c"] = "", true
	s.check(r, &serviceWatch{term: 1, silentSince: silentLongEnough()})
	qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("a"))
}

// Guards against the promotion of a server that holds nothing: a former primary that
// has lost its log counts for no commits, and a group of which no replica is known
// needed no answer.
func TestGroupWithoutAnswersCoversNothing(t *testing.T) {
	restarted := candidate("a", false, 0, 0)
	for name, g := range map[string]replicaGroup{
		"no replica is known":          {primary: "a", term: 2, syncReplicas: 1},
		"fewer are known than must be": {primary: "a", term: 2, syncReplicas: 2, replicas: []identifier.BackendServerID{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, g.includesAcknowledgedCommits([]Candidate{restarted}), qt.IsFalse)
		})
	}
}

// Guards against lost commits: a former primary that knows its term and lacks its log counted as one that has all of them.
func TestFormerPrimaryWithoutItsLogCoversNothing(t *testing.T) {
	for name, answers := range map[string]bool{"alone": false, "with a replica that is behind": true} {
		t.Run(name, func(t *testing.T) {
			s, r := newSyncService()
			s.stored = cataloger.Leadership{Term: 1, Server: "a", Revision: cataloger.Revision{Number: 10}}
			s.known = s.stored
			s.leader, s.lagging, s.received["a"] = "", true, 0
			s.down["b"], s.down["c"] = !answers, true
			w := &serviceWatch{term: 1, silentSince: silentLongEnough()}
			qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"announce 11 ", "two confirms 11", "grant a in term 1"})
			s.down = map[identifier.BackendServerID]bool{}
			w.silentSince, w.pausedUntil = silentLongEnough(), time.Time{}
			s.check(r, w)
			qt.Assert(t, s.leader, qt.Equals, identifier.BackendServerID("c"))
		})
	}
}

// drawnGroup is a group of servers with synchronous replication at the moment
// when its primary has failed.
type drawnGroup struct {
	servers  []drawnServer // The first one is the primary.
	required int           // Replicas that receive a commit before it is acknowledged.
	acked    uint64        // Number of the last acknowledged commit.
	restarts bool          // The instance that decides has started after the primary had failed.
}

type drawnServer struct {
	ID       identifier.BackendServerID
	Received uint64
	// State is "answers", "silent", "lapsed": silent, and its registration has expired, or
	// "left": the same, for long before the primary failed.
	State               string
	Draining, Evacuated bool
	Claims              bool // Its registration says that it is the primary, maybe an older one.
}

func drawGroup(rt *rapid.T) drawnGroup {
	var g drawnGroup
	var received []uint64
	for i := range rapid.IntRange(3, 5).Draw(rt, "servers") {
		s := drawnServer{
			ID:       identifier.BackendServerID(rune('a' + i)),
			State:    rapid.SampledFrom([]string{"answers", "answers", "silent", "lapsed", "left"}).Draw(rt, "state"),
			Draining: rapid.IntRange(0, 3).Draw(rt, "draining") == 3, Evacuated: rapid.IntRange(0, 3).Draw(rt, "evacuated") == 3,
			Claims: i == 0 || rapid.IntRange(0, 3).Draw(rt, "claims") == 3,
		}
		if i == 0 && s.State == "left" {
			s.State = "lapsed"
		}
		if i > 0 {
			s.Received = rapid.Uint64Range(1, 9).Draw(rt, "received")
			received = append(received, s.Received)
		}
		g.servers = append(g.servers, s)
	}
	slices.Sort(received)
	slices.Reverse(received)
	g.required = rapid.IntRange(1, 2).Draw(rt, "required")
	g.acked = received[g.required-1]
	g.servers[0].Received = received[0]
	g.restarts = rapid.Bool().Draw(rt, "restarts")
	return g
}

// coversAcknowledged reports whether the servers that answer have every
// acknowledged commit, whichever replicas received it.
func (g drawnGroup) coversAcknowledged() bool {
	answered := 0
	for _, s := range g.servers[1:] {
		if s.State == "answers" {
			answered++
		}
	}
	return g.servers[0].State == "answers" || answered > len(g.servers)-1-g.required
}

// play lets an instance see the group while its primary leads, then makes it fail,
// and returns the server that the instance promotes, or "".
func (g drawnGroup) play() identifier.BackendServerID {
	s, r := newSyncService()
	s.catalog.Configuration.Services["rentals"] = cataloger.Service{SyncReplicas: g.required}
	var all []cataloger.BackendServer
	for _, d := range g.servers {
		all = append(all, cataloger.BackendServer{ID: d.ID, Service: "rentals", Address: "at-" + string(d.ID), ClaimsPrimary: d.ID == "a"})
		s.received[d.ID] = d.Received
	}
	s.catalog.Servers["rentals"] = all
	s.lagging = true // What the replicas have received is as drawn.
	w := &serviceWatch{}
	s.check(r, w)
	for _, d := range g.servers {
		if d.State == "left" {
			s.removeEntry(d.ID)
		}
	}
	for range 4 {
		time.Sleep(groupUpdatePause)
		s.lastLed = time.Now()
		s.check(r, w)
	}
	if g.restarts {
		r, w = s.syncReplacer(), &serviceWatch{}
	}
	for i, d := range g.servers {
		all[i].Draining, all[i].Evacuated, all[i].ClaimsPrimary = d.Draining, d.Evacuated, d.Claims
		s.down[d.ID] = d.State != "answers"
	}
	s.catalog.Servers["rentals"] = slices.Clone(all)
	for _, d := range g.servers {
		if d.State == "lapsed" || d.State == "left" {
			s.removeEntry(d.ID)
		}
	}
	s.leader, s.lastLed = "", time.Time{}
	w.silentSince = silentLongEnough()
	for _, call := range s.check(r, w) {
		if id, found := strings.CutPrefix(call, "promote "); found {
			return identifier.BackendServerID(strings.Fields(id)[0])
		}
	}
	return ""
}

// Guards against the loss of acknowledged commits of a service with synchronous
// replication when its primary fails, whichever replicas drain, are evacuated, are
// silent, still claim to be the primary, have lost their registration or have left before, at an instance that ran
// throughout and at one that started later, and against a service that is not served
// although the servers that answer have all commits.
func TestPromotedServerHasAcknowledgedCommits(t *testing.T) {
	promoted := 0
	rapid.Check(t, func(rt *rapid.T) {
		g := drawGroup(rt)
		var id identifier.BackendServerID
		synctest.Test(t, func(*testing.T) { id = g.play() })
		switch {
		case id == "" && g.coversAcknowledged():
			rt.Fatalf("%+v: no server was promoted", g)
		case id == "":
			return
		}
		promoted++
		i := slices.IndexFunc(g.servers, func(s drawnServer) bool { return s.ID == id })
		if got := g.servers[i].Received; got < g.acked {
			rt.Fatalf("%+v: %s was promoted, which has %d of %d acknowledged commits", g, id, got, g.acked)
		}
	})
	qt.Assert(t, promoted > 0, qt.IsTrue, qt.Commentf("%d", promoted))
}
