package reaper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// simulatedRetention is the time for which a removed instance stays in the lists of
// the others.
const simulatedRetention = 5 * time.Second

var errSimulatedConflict = errors.New("registration has changed")

// simulation plays the reapers of a fleet on a simulated clock. The ids of a data
// centre are adjacent in their order.
type simulation struct {
	now       time.Time
	instances []*simulatedInstance // In the order of ids.
	byID      map[identifier.InstanceID]*simulatedInstance
	members   map[identifier.InstanceID]cataloger.Instance

	mu      sync.Mutex // Guards what the concurrent calls of a reaper change.
	writes  int        // To the store, in this second.
	busiest simulatedCost
}

type simulatedInstance struct {
	cataloger.Instance
	number  int // In the order of ids.
	down    bool
	network int // Instances in different networks do not reach each other.
	reaper  *reaper.Reaper
	removed time.Time     // Zero while it is registered.
	first   time.Time     // When it was first removed.
	cost    simulatedCost // In this second.
	links   map[identifier.InstanceID]bool
}

// simulatedCost is what the busiest instance does in a second, and the writes of
// the fleet.
type simulatedCost struct {
	Queries, Answers, Removals, Links, FleetWrites int
}

func newSimulation(size, dataCentres int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), byID: map[identifier.InstanceID]*simulatedInstance{}}
	for i := range size {
		d := i * dataCentres / size
		m := &simulatedInstance{number: i, links: map[identifier.InstanceID]bool{}, Instance: cataloger.Instance{
			ID:         identifier.InstanceID(fmt.Sprintf("dc%02d-%04d", d, i)),
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc%02d", d)),
			Revision:   cataloger.Revision{Number: uint64(i + 1)},
		}}
		s.instances, s.byID[m.ID] = append(s.instances, m), m
		s.start(m, seed)
	}
	return s
}

// start starts the instance anew.
func (s *simulation) start(m *simulatedInstance, seed uint64) {
	m.down = false
	m.reaper = &reaper.Reaper{
		Self:    m.ID,
		Members: func() map[identifier.InstanceID]cataloger.Instance { return s.members },
		Connected: func(id identifier.InstanceID) bool {
			m.links[id] = true
			return s.reaches(m, s.byID[id])
		},
		Ask: func(_ context.Context, id identifier.InstanceID, peers []identifier.InstanceID) reaper.Answers {
			return s.ask(m, s.byID[id], peers)
		},
		Remove: func(_ context.Context, target cataloger.Instance) error { return s.remove(m, target) },
		Random: rand.New(rand.NewPCG(seed, uint64(m.number))).Uint64,
		Now:    func() time.Time { return s.now },
	}
}

func (s *simulation) reaches(a, b *simulatedInstance) bool {
	return !a.down && !b.down && a.network == b.network
}

func (s *simulation) ask(from, target *simulatedInstance, peers []identifier.InstanceID) reaper.Answers {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := reaper.Answers{Asked: len(peers)}
	from.cost.Queries += len(peers)
	for _, id := range peers {
		peer := s.byID[id]
		if !s.reaches(from, peer) {
			continue
		}
		answers.Answered++
		peer.cost.Answers++
		if s.reaches(peer, target) {
			answers.Reached++
		}
	}
	return answers
}

// remove removes a registration. All instances reach the store.
func (s *simulation) remove(from *simulatedInstance, registration cataloger.Instance) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	from.cost.Removals++
	target := s.byID[registration.ID]
	if !target.removed.IsZero() || target.Revision != registration.Revision {
		return errSimulatedConflict
	}
	target.removed = s.now
	if target.first.IsZero() {
		target.first = s.now
	}
	return nil
}

// play runs the reapers for the duration.
func (s *simulation) play(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.members = map[identifier.InstanceID]cataloger.Instance{}
		for _, m := range s.instances {
			if !m.down && !m.removed.IsZero() { // It registers again.
				m.removed = time.Time{}
				m.Revision.Number += uint64(len(s.instances))
				s.writes++
			}
			if m.removed.IsZero() || s.now.Sub(m.removed) < simulatedRetention {
				s.members[m.ID] = m.Instance
			}
		}
		for _, m := range s.instances {
			if !m.down {
				m.reaper.CheckSuccessors(context.Background())
			}
		}
		s.recordCosts()
	}
}

func (s *simulation) recordCosts() {
	b := &s.busiest
	b.FleetWrites = max(b.FleetWrites, s.writes)
	s.writes = 0
	for _, m := range s.instances {
		b.Queries, b.Answers = max(b.Queries, m.cost.Queries), max(b.Answers, m.cost.Answers)
		b.Removals, b.Links = max(b.Removals, m.cost.Removals), max(b.Links, len(m.links))
		m.cost = simulatedCost{}
		clear(m.links)
	}
}

// removals returns how many of the instances were removed, and the time since the
// start after which the last of them was.
func (s *simulation) removals(start time.Time, of func(*simulatedInstance) bool) (count int, last time.Duration) {
	for _, m := range s.instances {
		if of(m) && !m.first.IsZero() {
			count++
			last = max(last, m.first.Sub(start))
		}
	}
	return count, last
}

// Bounds on what an instance does in a second, at any size of the fleet, and on
// the writes of the fleet.
const (
	// removalTarget is the time-out that covers restarts and the 10 s after it.
	removalTarget  = 18 * time.Second
	maxLinks       = 20
	maxQueries     = 30
	maxAnswers     = 60
	maxRemovals    = 4
	maxFleetWrites = 400 // The lowest rate of a store in the sheets of the deployments.
)

// Guards against lost instances that stay registered, removed running ones, and a cost that grows with the fleet.
func TestLostDataCentreIsRemovedInTime(t *testing.T) {
	inFirst := func(m *simulatedInstance) bool { return m.DataCentre == "dc00" }
	scenarios := []struct {
		name string
		// fail begins the failure.
		fail func(*simulation)
		// end ends it after the time, if that is not 0.
		after time.Duration
		end   func(*simulation)
		gone  func(*simulatedInstance) bool // Those that have to be removed.
	}{
		{name: "data centre lost", gone: inFirst, fail: func(s *simulation) { s.stop(inFirst) }},
		{
			name: "one lost", gone: func(m *simulatedInstance) bool { return m.number == 5 },
			fail: func(s *simulation) { s.stop(func(m *simulatedInstance) bool { return m.number == 5 }) },
		},
		{name: "data centre cut off", gone: inFirst, fail: func(s *simulation) { s.cutOff(inFirst) }}, // It must remove nobody.
		{
			name: "two data centres lost", gone: func(*simulatedInstance) bool { return false }, // Looks like a cut to the rest.
			fail: func(s *simulation) { s.stop(func(m *simulatedInstance) bool { return m.DataCentre != "dc00" }) },
		},
		{
			name: "all restarted", gone: func(*simulatedInstance) bool { return false },
			fail:  func(s *simulation) { s.stop(func(*simulatedInstance) bool { return true }) },
			after: 6 * time.Second,
			end: func(s *simulation) {
				for _, m := range s.instances {
					s.start(m, 2)
				}
			},
		},
	}
	for _, size := range []int{30, 100, 300, 1900} {
		if size > 300 && (testing.Short() || raceEnabled) {
			continue
		}
		for _, scenario := range scenarios {
			if size > 300 && scenario.name != "data centre lost" && scenario.name != "data centre cut off" {
				continue // Each plays for a minute.
			}
			t.Run(fmt.Sprintf("%d/%s", size, scenario.name), func(t *testing.T) {
				s := newSimulation(size, 3, 1)
				s.play(5 * time.Second)
				start := s.now
				scenario.fail(s)
				if scenario.end != nil {
					s.play(scenario.after)
					scenario.end(s)
				}
				s.play(30 * time.Second)
				all := 0
				for _, m := range s.instances {
					if scenario.gone(m) {
						all++
					}
				}
				gone, last := s.removals(start, scenario.gone)
				wrong, _ := s.removals(start, func(m *simulatedInstance) bool { return !scenario.gone(m) })
				t.Logf("%d of %d removed after %v, %d wrongly, busiest %+v", gone, all, last, wrong, s.busiest)
				qt.Check(t, wrong, qt.Equals, 0)
				qt.Check(t, gone, qt.Equals, all)
				qt.Check(t, last <= removalTarget, qt.IsTrue, qt.Commentf("last removal after %v", last))
				b := s.busiest
				qt.Check(t, b.Links <= maxLinks && b.Queries <= maxQueries && b.Answers <= maxAnswers && b.Removals <= maxRemovals &&
					b.FleetWrites <= maxFleetWrites, qt.IsTrue, qt.Commentf("busiest %+v", b))
			})
		}
	}
}

func (s *simulation) stop(of func(*simulatedInstance) bool) {
	for _, m := range s.instances {
		m.down = m.down || of(m)
	}
}

func (s *simulation) cutOff(of func(*simulatedInstance) bool) {
	for _, m := range s.instances {
		if of(m) {
			m.network = 1
		}
	}
}

// Guards against a region that is cut off and removes the instances of the others.
func TestCutOffRegionRemovesNobody(t *testing.T) {
	isCut := func(m *simulatedInstance) bool { return m.DataCentre < "dc03" }
	s := newSimulation(110, 22, 1)
	s.cutOff(isCut)
	s.play(60 * time.Second)
	wrong, _ := s.removals(s.now, func(m *simulatedInstance) bool { return !isCut(m) })
	qt.Check(t, wrong, qt.Equals, 0)
	gone, _ := s.removals(s.now, isCut)
	qt.Check(t, gone, qt.Equals, 15)
}

// Guards against survivors that remove each other, or lost instances that stay, when most instances fail.
func TestLostMajorityIsRemoved(t *testing.T) {
	for _, size := range []int{30, 100, 300} {
		s := newSimulation(size, 3, 1)
		s.play(5 * time.Second)
		start := s.now
		order := rand.New(rand.NewPCG(3, 3)).Perm(size)[:size*6/10]
		s.stop(func(m *simulatedInstance) bool { return slices.Contains(order, m.number) })
		s.play(60 * time.Second)
		gone, last := s.removals(start, func(m *simulatedInstance) bool { return m.down })
		wrong, _ := s.removals(start, func(m *simulatedInstance) bool { return !m.down })
		t.Logf("%d: %d of %d removed after %v, %d wrongly, busiest %+v", size, gone, len(order), last, wrong, s.busiest)
		qt.Check(t, wrong, qt.Equals, 0)
		qt.Check(t, gone, qt.Equals, len(order))
	}
}
