package dispatcher_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/dispatcher"
	"oleanderpulley/internal/state/identifier"
)

const server = identifier.BackendServerID("rentas-1-a")

// fixedCount returns the same number for every backend server.
func fixedCount(n int) func(identifier.BackendServerID) int {
	return func(identifier.BackendServerID) int { return n }
}

// Guards against a workspace with many waiting statements that delays another
// workspace by more than their weights justify.
func TestStatementsStartByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d dispatcher.Dispatcher
		release, err := d.Acquire(t.Context(), server, "flood", 1)
		qt.Assert(t, err, qt.IsNil)
		var statements sync.WaitGroup
		order := make(chan identifier.WorkspaceName, 32)
		wait := func(w identifier.WorkspaceName, weight float64) {
			statements.Go(func() {
				release, err := d.Acquire(t.Context(), server, w, weight)
				qt.Check(t, err, qt.IsNil)
				order <- w
				time.Sleep(10 * time.Millisecond) // Service time on synctest's fake clock.
				release()
			})
			synctest.Wait()
		}
		for range 12 {
			wait("flood", 1)
		}
		for range 4 {
			wait("small", 1)
		}
		for range 8 {
			wait("large", 2)
		}
		time.Sleep(10 * time.Millisecond)
		release()
		count := map[identifier.WorkspaceName]int{}
		for range 16 {
			count[<-order]++
		}
		qt.Assert(t, count["large"] >= 7, qt.IsTrue, qt.Commentf("%v", count))
		qt.Assert(t, count["small"] >= 3, qt.IsTrue, qt.Commentf("%v", count))
		statements.Wait()
	})
}

// Guards against queueing a statement that cannot finish before its deadline,
// against an unbounded queue, and against a release that is counted twice.
func TestRefusalIsImmediateWithRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reasons []dispatcher.Reason
		d := dispatcher.Dispatcher{QueueLimit: 2, Hooks: dispatcher.Hooks{
			Refused: func(_ identifier.BackendServerID, _ identifier.WorkspaceName, r dispatcher.Reason) {
				reasons = append(reasons, r)
			},
		}}
		release, err := d.Acquire(t.Context(), server, "a", 1)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		release()
		release()
		release, err = d.Acquire(t.Context(), server, "a", 1)
		qt.Assert(t, err, qt.IsNil)

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err = d.Acquire(ctx, server, "b", 1)
		var refusal *dispatcher.RefusalError
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
		qt.Assert(t, errors.Is(err, dispatcher.ErrDeadline), qt.IsTrue)
		qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, time.Since(begin), qt.Equals, time.Duration(0))

		waiting, stop := context.WithCancel(t.Context())
		var cancelled atomic.Int32
		for range 2 {
			go func() {
				if _, err := d.Acquire(waiting, server, "b", 1); errors.Is(err, context.Canceled) {
					cancelled.Add(1)
				}
			}()
		}
		synctest.Wait()
		_, err = d.Acquire(t.Context(), server, "b", 1)
		qt.Assert(t, errors.Is(err, dispatcher.ErrQueueFull), qt.IsTrue)
		stop()
		synctest.Wait()
		qt.Assert(t, cancelled.Load(), qt.Equals, int32(2))
		release()
		release, err = d.Acquire(t.Context(), server, "b", 1)
		qt.Assert(t, err, qt.IsNil)
		release()
		qt.Assert(t, reasons, qt.DeepEquals, []dispatcher.Reason{
			dispatcher.ReasonDeadline, dispatcher.ReasonQueueFull, dispatcher.ReasonCancelled, dispatcher.ReasonCancelled,
		})
	})
}

// Guards against instances that together open more connections than the backend
// server accepts while the list of instances changes.
func TestBudgetShrinksImmediatelyAndGrowsAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := 12
		d := dispatcher.Dispatcher{MaxConnections: fixedCount(50), Instances: func() int { return instances }}
		qt.Assert(t, d.Budget(server), qt.Equals, 3)
		instances = 45
		qt.Assert(t, d.Budget(server), qt.Equals, 1)
		instances = 9
		qt.Assert(t, d.Budget(server), qt.Equals, 1)
		time.Sleep(9 * time.Second)
		instances = 11
		qt.Assert(t, d.Budget(server), qt.Equals, 1)
		time.Sleep(9 * time.Second)
		qt.Assert(t, d.Budget(server), qt.Equals, 1)
		time.Sleep(time.Second)
		qt.Assert(t, d.Budget(server), qt.Equals, 4)
		d.ReportTooManyConnections(server)
		qt.Assert(t, d.Budget(server), qt.Equals, 2)
		time.Sleep(5 * time.Second)
		qt.Assert(t, d.Budget(server), qt.Equals, 4)
		instances = 1000
		qt.Assert(t, d.Budget(server), qt.Equals, 1)
	})
}
