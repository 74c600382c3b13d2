package scheduler_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/state/identifier"
)

// load is an open stream of statements with exponential gaps and service times.
type load struct {
	workspace identifier.WorkspaceName
	priority  int
	rate      float64 // Statements a second.
	service   time.Duration
	target    time.Duration
	slowUntil time.Duration // Until then, service takes 40 times as long.
}

// outcome counts the statements of a workspace.
type outcome struct {
	arrived, inTime, refused int
	expired                  int // Of the refused ones, those that had waited until their deadline.
	served                   time.Duration
	latencies                []time.Duration
}

func (o *outcome) p99() time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

// goodput returns the part of the statements that were answered by their target.
func (o *outcome) goodput() float64 { return float64(o.inTime) / float64(o.arrived) }

// event is something that happens in the simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs loads against one backend server without a network.
type simulation struct {
	t        *testing.T
	queue    scheduler.Queue
	slots    int
	busy     int
	now      time.Time
	events   events
	random   *rand.Rand
	outcomes map[identifier.WorkspaceName]*outcome
}

// duration is the simulated time.
const duration = 30 * time.Second

// simulate runs the loads for [duration].
func simulate(t *testing.T, slots int, loads ...load) *simulation {
	m := &simulation{
		t: t, slots: slots, now: start, random: rand.New(rand.NewPCG(1, 2)),
		outcomes: map[identifier.WorkspaceName]*outcome{},
	}
	end := m.now.Add(duration)
	for _, l := range loads {
		m.outcomes[l.workspace] = &outcome{}
		var arrive func()
		arrive = func() {
			m.arrive(l)
			m.after(time.Duration(m.random.ExpFloat64()/l.rate*float64(time.Second)), arrive)
		}
		m.after(time.Duration(m.random.ExpFloat64()/l.rate*float64(time.Second)), arrive)
	}
	for m.now.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m
}

func (m *simulation) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), run})
}

func (m *simulation) arrive(l load) {
	o := m.outcomes[l.workspace]
	deadline := m.now.Add(l.target)
	service := time.Duration(m.random.ExpFloat64() * float64(l.service))
	if m.now.Sub(start) < l.slowUntil {
		service *= 40
	} else if l.slowUntil > 0 && m.now.Sub(start) < l.slowUntil+time.Second {
		*o = outcome{} // What counts is from a second after the slow time.
	}
	o.arrived++
	arrived := m.now
	s := &scheduler.Statement{Workspace: l.workspace, Priority: l.priority, Target: deadline, Deadline: deadline}
	s.Owner = func() {
		if m.now.After(deadline) {
			m.t.Errorf("started %v after its deadline", m.now.Sub(deadline))
		}
		m.busy++
		m.after(service, func() {
			m.busy--
			o.served += service
			o.latencies = append(o.latencies, m.now.Sub(arrived))
			if !m.now.After(deadline) {
				o.inTime++
			}
			m.queue.Finish(s, m.now)
			m.dispatch()
		})
	}
	if m.queue.Len() == 0 && m.busy < m.slots {
		s.Owner.(func())()
		return
	}
	shed, _, refusal := m.queue.Add(s, m.now)
	if shed != nil {
		m.outcomes[shed.Workspace].refused++
	}
	if refusal != nil {
		o.refused++
	}
	m.dispatch()
	m.after(l.target, func() {
		if m.queue.Remove(s) {
			o.refused++
			o.expired++
		}
	})
}

func (m *simulation) dispatch() {
	for m.busy < m.slots {
		s, err := m.queue.Next(true, m.now)
		switch {
		case s == nil && m.queue.Len() > 0:
			m.t.Fatal("a slot is idle while statements wait")
		case s == nil:
			return
		case err != nil:
			m.outcomes[s.Workspace].refused++
			m.outcomes[s.Workspace].expired++
		default:
			s.Owner.(func())()
		}
	}
}

// Guards against a workspace that takes the service of others: while one asks for
// many times the capacity, the others keep 0.95 of their goodput, and at most twice
// their p99 if its statements take as long as theirs. Longer statements hold all
// slots whenever the others have none waiting, since no slot may stay idle.
func TestOthersAreServedDuringAFlood(t *testing.T) {
	const slots = 4
	var others []load
	for i := range 8 {
		name := identifier.WorkspaceName(rune('a' + i))
		others = append(others, load{workspace: name, rate: 30 + 5*float64(i), service: 5 * time.Millisecond, target: 300 * time.Millisecond})
	}
	alone := simulate(t, slots, others...)
	for name, flood := range map[string]load{
		"equal":  {workspace: "flood", rate: 4000, service: 5 * time.Millisecond, target: 300 * time.Millisecond},
		"short":  {workspace: "flood", rate: 8000, service: time.Millisecond, target: 50 * time.Millisecond},
		"longer": {workspace: "flood", rate: 300, service: 60 * time.Millisecond, target: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			flooded := simulate(t, slots, append(slices.Clone(others), flood)...)
			for _, l := range others {
				before, after := alone.outcomes[l.workspace], flooded.outcomes[l.workspace]
				t.Logf("%s: goodput %.4f and %.4f, p99 %v and %v", l.workspace, before.goodput(), after.goodput(), before.p99(), after.p99())
				qt.Check(t, after.goodput() >= 0.95*before.goodput(), qt.IsTrue)
				qt.Check(t, after.p99() <= 2*before.p99(), qt.IsTrue)
			}
			o := flooded.outcomes["flood"]
			t.Logf("flood of %v: arrived %d, in time %d, refused %d", flood.service, o.arrived, o.inTime, o.refused)
		})
	}
}

// Guards against a less urgent priority that starves while a more urgent one asks
// for more than the capacity.
func TestLeastUrgentKeepsItsShare(t *testing.T) {
	const slots = 4
	m := simulate(t, slots,
		load{workspace: "urgent", rate: 3000, service: 5 * time.Millisecond, target: 300 * time.Millisecond},
		load{workspace: "middle", priority: 1, rate: 500, service: 20 * time.Millisecond, target: 3 * time.Second},
		load{workspace: "least", priority: 2, rate: 500, service: 5 * time.Millisecond, target: 3 * time.Second},
	)
	for w, o := range m.outcomes {
		part := o.served.Seconds() / (slots * duration.Seconds())
		t.Logf("%s: part %.3f, arrived %d, in time %d, refused %d", w, part, o.arrived, o.inTime, o.refused)
		qt.Check(t, part >= 0.095, qt.IsTrue, qt.Commentf("%s", w))
	}
	qt.Check(t, m.outcomes["urgent"].served > m.outcomes["middle"].served, qt.IsTrue)
}

// Guards against an overloaded workspace whose statements all start so late that
// none is answered in time, and against statements that wait for nothing: most of
// those that cannot be served have to be refused on arrival.
func TestOverloadIsServedInTime(t *testing.T) {
	m := simulate(t, 2,
		load{workspace: "shops", rate: 1000, service: 10 * time.Millisecond, target: 100 * time.Millisecond})
	o := m.outcomes["shops"]
	t.Logf("arrived %d, in time %d, refused %d, expired %d, answered %d", o.arrived, o.inTime, o.refused, o.expired, len(o.latencies))
	qt.Check(t, o.expired <= o.refused/10, qt.IsTrue)
	qt.Check(t, float64(o.inTime)/float64(len(o.latencies)) >= 0.9, qt.IsTrue)
	qt.Check(t, o.served >= 59*time.Second, qt.IsTrue)
}

// Guards against a rate of service that is remembered for too long: after a slow
// time, statements that can be served must not be refused.
func TestRateRecoversAfterASlowTime(t *testing.T) {
	m := simulate(t, 4, load{
		workspace: "shops", rate: 500, service: 5 * time.Millisecond, target: 100 * time.Millisecond, slowUntil: 10 * time.Second,
	})
	o := m.outcomes["shops"]
	t.Logf("arrived %d, in time %d, refused %d", o.arrived, o.inTime, o.refused)
	qt.Check(t, o.goodput() >= 0.99, qt.IsTrue)
}
