package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/state/identifier"
)

var start = time.Unix(1_000_000, 0)

// statement returns one whose target and deadline are the given time after start.
func statement(w identifier.WorkspaceName, priority int, target time.Duration) *scheduler.Statement {
	return &scheduler.Statement{Workspace: w, Priority: priority, Target: start.Add(target), Deadline: start.Add(time.Hour)}
}

// add adds the statements, of which none may be refused.
func add(t *testing.T, q *scheduler.Queue, all ...*scheduler.Statement) {
	for _, s := range all {
		shed, _, err := q.Add(s, start)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, shed, qt.IsNil)
	}
}

// assertOrder checks that the statements start in the order.
func assertOrder(t *testing.T, q *scheduler.Queue, now time.Time, order ...*scheduler.Statement) {
	for i, want := range order {
		got, err := q.Next(true, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got == want, qt.IsTrue, qt.Commentf("statement %d is another one", i))
	}
}

// Guards against a statement that is served before its turn within a workspace:
// the earliest target is first, equal ones are served as they arrived, and one
// that cannot meet its target any more delays none that can.
func TestOrderWithinAWorkspace(t *testing.T) {
	var q scheduler.Queue
	late, first := statement("shops", 0, time.Millisecond), statement("shops", 0, time.Second)
	second, third := statement("shops", 0, 2*time.Second), statement("shops", 0, 2*time.Second)
	add(t, &q, second, late, third, first)
	assertOrder(t, &q, start.Add(time.Millisecond), first, second, third, late)
}

// Guards against a division of the service that ignores the weights.
func TestWeights(t *testing.T) {
	weights := map[identifier.WorkspaceName]float64{"shops": 3, "fitters": 1}
	q := scheduler.Queue{Weight: func(w identifier.WorkspaceName) float64 { return weights[w] }}
	for range 24 {
		add(t, &q, statement("shops", 0, time.Second))
	}
	for range 24 {
		add(t, &q, statement("fitters", 0, time.Second))
	}
	started := map[identifier.WorkspaceName]int{}
	for range 24 {
		s, err := q.Next(true, start)
		qt.Assert(t, err, qt.IsNil)
		started[s.Workspace]++
	}
	qt.Assert(t, started, qt.DeepEquals, map[identifier.WorkspaceName]int{"shops": 18, "fitters": 6})
}

// Guards against a query of the proxy itself that is refused or delayed by
// statements, and against a transaction that waits for a slot that it needs not.
func TestQueriesAndTransactionsNeedNoSlot(t *testing.T) {
	q := scheduler.Queue{Limit: 2}
	ordinary, transaction := statement("shops", 0, time.Second), statement("fitters", 1, time.Second)
	transaction.Slotless = true
	own := &scheduler.Statement{Exempt: true}
	add(t, &q, ordinary, transaction, own)
	for _, want := range []*scheduler.Statement{own, transaction, nil} {
		got, err := q.Next(false, start)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got == want, qt.IsTrue)
	}
	assertOrder(t, &q, start, ordinary)
}

// Guards against one workspace that fills the queue: beyond half of it, it is
// refused while others wait, and of a full queue it loses its latest statement to a
// newcomer.
func TestFullQueueShedsTheLargestWorkspace(t *testing.T) {
	q := scheduler.Queue{Limit: 6}
	var flood []*scheduler.Statement
	for range 5 {
		flood = append(flood, statement("flood", 0, time.Second))
	}
	add(t, &q, flood...)
	add(t, &q, statement("shops", 0, time.Second))
	_, _, err := q.Add(statement("flood", 0, time.Second), start)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrOverShare)
	shed, reason, err := q.Add(statement("fitters", 0, time.Second), start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, shed == flood[4], qt.IsTrue)
	qt.Assert(t, reason, qt.ErrorIs, scheduler.ErrFull)
	qt.Assert(t, q.Len(), qt.Equals, 6)
	for _, w := range []identifier.WorkspaceName{"a", "b"} {
		add2, _, err := q.Add(statement(w, 0, time.Second), start)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, add2.Workspace, qt.Equals, identifier.WorkspaceName("flood"))
	}
}

// Guards against a full queue of less urgent statements that refuses an urgent
// one.
func TestUrgentStatementReplacesALessUrgentOne(t *testing.T) {
	q := scheduler.Queue{Limit: 2}
	less := statement("fitters", 1, time.Second)
	add(t, &q, statement("shops", 0, time.Second), less)
	shed, _, err := q.Add(statement("a", 0, time.Second), start)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, shed == less, qt.IsTrue)
	_, _, err = q.Add(statement("b", 0, time.Second), start)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrFull)
}

// Guards against holding a statement that cannot start before its deadline at the
// observed rate, and against refusing one that can.
func TestDeadlineBeyondTheRateIsRefused(t *testing.T) {
	var q scheduler.Queue
	now := start
	for range 10 {
		add(t, &q, statement("shops", 0, time.Hour))
	}
	for range 6 {
		now = now.Add(20 * time.Millisecond)
		_, err := q.Next(true, now)
		qt.Assert(t, err, qt.IsNil)
	}
	s := statement("shops", 0, time.Hour) // The fifth, which starts in about 100 ms.
	s.Deadline = now.Add(60 * time.Millisecond)
	_, _, err := q.Add(s, now)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrDeadline)
	s.Deadline = now.Add(150 * time.Millisecond)
	_, _, err = q.Add(s, now)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a statement that is started after its deadline.
func TestExpiredStatementIsRefused(t *testing.T) {
	var q scheduler.Queue
	s := statement("shops", 0, time.Second)
	s.Deadline = start.Add(time.Second)
	add(t, &q, s)
	got, err := q.Next(true, start.Add(time.Second))
	qt.Assert(t, got == s, qt.IsTrue)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrExpired)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// Guards against refused clients that come back at the same moment, in another
// order, or later than the rate of service says anything about.
func TestRefusedClientsComeBackInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.Queue{Limit: rapid.IntRange(1, 6).Draw(t, "limit")}
		now := start
		last := map[identifier.WorkspaceName]time.Time{}
		for range rapid.IntRange(1, 400).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Microsecond)
			if rapid.IntRange(0, 9).Draw(t, "next") == 0 {
				_, _ = q.Next(true, now)
			}
			w := rapid.SampledFrom([]identifier.WorkspaceName{"a", "b", "c", "d", "e"}).Draw(t, "workspace")
			var refusal *scheduler.RefusalError
			shed, err1, err2 := q.Add(statement(w, 0, time.Hour), now)
			if shed != nil {
				w = shed.Workspace
			}
			if !errors.As(err1, &refusal) && !errors.As(err2, &refusal) {
				continue
			}
			at := now.Add(refusal.RetryAfter)
			if refusal.RetryAfter <= 0 || refusal.RetryAfter > 3*time.Second {
				t.Fatalf("retry after %v", refusal.RetryAfter)
			}
			if !at.After(last[w]) {
				t.Fatalf("retry at %v, an earlier refusal at %v", at, last[w])
			}
			last[w] = at
		}
	})
}

// Guards against clients of many workspaces that come back at the same moment, and
// against a long time for the first of one workspace after many of another.
func TestWorkspacesComeBackApart(t *testing.T) {
	q := scheduler.Queue{Limit: 1}
	add(t, &q, statement("flood", 0, time.Hour))
	retryAfter := func(w identifier.WorkspaceName) time.Duration {
		var refusal *scheduler.RefusalError
		_, _, err := q.Add(statement(w, 0, time.Hour), start)
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
		return refusal.RetryAfter
	}
	for range 1000 {
		retryAfter("flood")
	}
	last := time.Duration(0)
	for i := range 50 {
		after := retryAfter(identifier.WorkspaceName(fmt.Sprint("workspace", i)))
		qt.Assert(t, after >= last+time.Millisecond, qt.IsTrue)
		last = after
	}
	qt.Assert(t, last < time.Second, qt.IsTrue)
}

// Guards against another order than first come, first served if there is one
// workspace, one priority and one target latency, whatever the statements take.
func TestOneWorkspaceIsServedAsItArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.Queue{Limit: 1000}
		now := start
		var waiting, running []*scheduler.Statement
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Microsecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s := &scheduler.Statement{Workspace: "shops", Target: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
				if _, _, err := q.Add(s, now); err != nil {
					t.Fatal(err)
				}
				waiting = append(waiting, s)
			case 1:
				s, _ := q.Next(true, now)
				if len(waiting) == 0 {
					continue
				}
				if s != waiting[0] {
					t.Fatal("another statement than the first")
				}
				waiting, running = waiting[1:], append(running, s)
			default:
				if len(running) > 0 {
					q.Finish(running[0], now)
					running = running[1:]
				}
			}
		}
	})
}

// Guards against statements that are lost, started twice or left behind while a
// slot is free, in any sequence of calls.
func TestEveryStatementIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.Queue{Limit: rapid.IntRange(1, 12).Draw(t, "limit")}
		now := start
		waiting := map[*scheduler.Statement]bool{}
		var running []*scheduler.Statement
		leave := func(s *scheduler.Statement) {
			if !waiting[s] {
				t.Fatal("a statement that does not wait was decided")
			}
			delete(waiting, s)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
				s := &scheduler.Statement{
					Workspace: identifier.WorkspaceName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
					Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
					Deadline:  now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond),
					Slotless:  rapid.Bool().Draw(t, "slotless"),
				}
				s.Target = s.Deadline.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "target")) * time.Millisecond)
				shed, _, err := q.Add(s, now)
				if shed != nil {
					leave(shed)
				}
				if err == nil {
					waiting[s] = true
				}
			},
			"next": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
				slot := rapid.Bool().Draw(t, "slot")
				s, err := q.Next(slot, now)
				if s == nil {
					for other := range waiting {
						if slot || other.Slotless {
							t.Fatal("a statement is left behind")
						}
					}
					return
				}
				leave(s)
				if err == nil {
					running = append(running, s)
				} else if now.Before(s.Deadline) {
					t.Fatalf("refused before its deadline: %v", err)
				}
			},
			"remove": func(*rapid.T) {
				for s := range waiting {
					if !q.Remove(s) || q.Remove(s) {
						t.Fatal("a waiting statement was not removed once")
					}
					leave(s)
					return
				}
			},
			"finish": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
				if len(running) > 0 {
					q.Finish(running[0], now)
					running = running[1:]
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || (len(waiting) > q.Limit) {
					t.Fatalf("%d wait, the queue counts %d of %d", len(waiting), q.Len(), q.Limit)
				}
			},
		})
	})
}

// BenchmarkDecision measures adding, starting and finishing one statement while a
// statement of every workspace waits.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := scheduler.Queue{Limit: 2 * n}
			names := make([]identifier.WorkspaceName, n)
			now := start
			for i := range names {
				names[i] = identifier.WorkspaceName(fmt.Sprint("workspace", i))
				_, _, _ = q.Add(&scheduler.Statement{Workspace: names[i], Priority: i % 3, Deadline: now.Add(time.Hour)}, now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				_, _, _ = q.Add(&scheduler.Statement{Workspace: names[i%n], Priority: i % 3, Deadline: now.Add(time.Hour)}, now)
				if s, _ := q.Next(true, now); s != nil {
					q.Finish(s, now.Add(time.Microsecond))
				}
			}
		})
	}
}
