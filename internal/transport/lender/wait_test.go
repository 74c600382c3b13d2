package lender_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/reporter"
)

// answer is the result of [lender.Lender.Borrow].
type answer struct {
	conn *lender.Conn
	err  error
}

// wait starts to borrow and returns once the borrower waits.
func (b *fakeServer) wait(req lender.Request) <-chan answer {
	_, before := b.lender.Borrowed("a")
	answers := make(chan answer, 1)
	go func() {
		c, err := b.lender.Borrow(req)
		answers <- answer{c, err}
	}()
	for waiting := before; waiting == before && len(answers) == 0; {
		_, waiting = b.lender.Borrowed("a")
	}
	return answers
}

// patient returns a request that waits for longer than the test.
func patient(w identifier.WorkspaceName) lender.Request {
	req := request(w)
	req.Deadline = time.Now().Add(time.Minute)
	return req
}

// Guards against the statement of a disconnected client that keeps its place in
// the queue.
func TestCancelledBorrowerLeavesTheQueue(t *testing.T) {
	b := newFakeServer(1)
	c := b.borrow(t, "shops")
	var cancelled atomic.Bool
	req := patient("shops")
	req.Cancelled = cancelled.Load
	first, second := b.wait(req), b.wait(patient("shops"))
	cancelled.Store(true)
	a := <-first
	qt.Assert(t, a.err, qt.ErrorIs, lender.ErrCancelled)
	qt.Assert(t, a.err, qt.ErrorIs, lender.ErrNoConnection)
	b.lender.Return(c)
	qt.Assert(t, (<-second).err, qt.IsNil)
}

// Guards against a borrower that overtakes one that waits, and against a
// transaction that is refused because of statements that wait for a slot.
func TestNewBorrowersJoinTheQueue(t *testing.T) {
	b := newFakeServer(2)
	b.lender.ConcurrencyLimit = func(cataloger.BackendServer) int { return 1 }
	c := b.borrow(t, "shops")
	first, second := b.wait(patient("shops")), b.wait(patient("shops"))
	for range scheduler.DefaultLimit - 2 {
		b.wait(patient("shops"))
	}
	pinned := patient("shops")
	pinned.Pinned = true
	_, err := b.lender.Borrow(pinned)
	qt.Assert(t, err, qt.IsNil)
	b.lender.Return(c)
	a := <-first
	qt.Assert(t, a.err, qt.IsNil)
	qt.Assert(t, len(second), qt.Equals, 0)
	b.lender.Return(a.conn)
	qt.Assert(t, (<-second).err, qt.IsNil)
}

// Guards against slots that stay idle while statements wait, after the limit of
// concurrent statements or the share of connections has grown.
func TestGrownLimitsServeTheQueue(t *testing.T) {
	var concurrency, limit atomic.Int64
	concurrency.Store(1)
	limit.Store(2)
	b := newFakeServer(0)
	b.lender.Limit = func(cataloger.BackendServer) int { return int(limit.Load()) }
	b.lender.ConcurrencyLimit = func(cataloger.BackendServer) int { return int(concurrency.Load()) }
	b.borrow(t, "shops")
	waiting := []<-chan answer{b.wait(patient("shops")), b.wait(patient("shops"))}
	concurrency.Store(3)
	qt.Assert(t, (<-waiting[0]).err, qt.IsNil)
	limit.Store(3)
	b.lender.Adapt(&cataloger.Catalog{Servers: map[identifier.ServiceName][]cataloger.BackendServer{
		"rentals": {{ID: "a", Service: "rentals"}},
	}})
	qt.Assert(t, (<-waiting[1]).err, qt.IsNil)
}

// Guards against a refusal without its cause or without the time to come back,
// and against one that is not counted.
func TestRefusalCarriesItsCause(t *testing.T) {
	b := newFakeServer(1)
	b.lender.Registry = &reporter.Registry{}
	b.borrow(t, "shops")
	_, err := b.lender.Borrow(request("shops"))
	var refusal *scheduler.RefusalError
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorIs, lender.ErrNoConnection)
	qt.Assert(t, err, qt.ErrorIs, scheduler.ErrExpired)
	qt.Assert(t, err, qt.ErrorMatches, `server a: .*; retry after [0-9.]+m?s`)
	qt.Assert(t, b.lender.Registry.CounterValue(reporter.Series{Name: "queue_refusals", Reason: "expired"}), qt.Equals, int64(1))
}

// Guards against borrowers that wait for the pool of a server that is gone.
func TestRetiredPoolWakesItsBorrowers(t *testing.T) {
	b := newFakeServer(1)
	b.borrow(t, "shops")
	waiting := []<-chan answer{b.wait(patient("shops")), b.wait(patient("fitters"))}
	b.lender.Adapt(&cataloger.Catalog{})
	first, other := waiting[0], waiting[1]
	var a answer
	select {
	case a = <-first:
	case a = <-other:
		other = first
	}
	qt.Assert(t, a.err, qt.IsNil)
	b.lender.Return(a.conn)
	qt.Assert(t, (<-other).err, qt.IsNil)
}

// Guards against connections and slots that are lost when borrowers give up, are
// refused, fail to open a connection or find it closed, all at the same time.
func TestNothingIsLostUnderContention(t *testing.T) {
	b := newFakeServer(3)
	dial := b.lender.Dial
	var mu sync.Mutex
	b.lender.Dial = func(deadline time.Time, s cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		mu.Lock()
		defer mu.Unlock()
		if rand.IntN(10) == 0 {
			return lender.Link{}, lender.ErrUnreachable
		}
		link, err := dial(deadline, s, w)
		link.Open = func() bool { return rand.IntN(10) > 0 }
		link.Close = func() {}
		return link, err
	}
	b.lender.ConcurrencyLimit = func(cataloger.BackendServer) int { return 2 }
	var tasks sync.WaitGroup
	var lent, served atomic.Int64
	for range 40 {
		tasks.Go(func() {
			for range 50 {
				req := request([]identifier.WorkspaceName{"a", "b", "c"}[rand.IntN(3)])
				req.Priority, req.Pinned, req.AnyWorkspace = rand.IntN(3), rand.IntN(4) == 0, rand.IntN(8) == 0
				req.Deadline = time.Now().Add(rand.N(50 * time.Millisecond))
				req.Cancelled = func() bool { return rand.IntN(3) == 0 }
				c, err := b.lender.Borrow(req)
				if err != nil {
					continue
				}
				if n := lent.Add(1); n > 3 {
					t.Errorf("%d connections are lent", n)
				}
				served.Add(1)
				lent.Add(-1)
				b.lender.Return(c)
			}
		})
	}
	tasks.Wait()
	qt.Assert(t, served.Load() > 0, qt.IsTrue)
	inUse, waiting := b.lender.Borrowed("a")
	qt.Assert(t, []int{inUse, waiting}, qt.DeepEquals, []int{0, 0})
}
