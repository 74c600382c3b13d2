package pooler_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/pooler"
)

func startServer(t *testing.T, configure func(*backendserver.Server)) (*backendserver.Server, pooler.Target) {
	s := &backendserver.Server{ID: "s", Password: "secret"}
	if configure != nil {
		configure(s)
	}
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { allocator.Release(address) })
	_, err = s.Start(address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { s.Close() })
	return s, pooler.Target{Server: "s", Address: address, Database: "rentals"}
}

func newPooler(t *testing.T, budget int) *pooler.Pooler {
	p := &pooler.Pooler{User: "proxy", Password: "secret", Application: "i1",
		MaxConnections: func(identifier.BackendServerID) int { return budget }}
	t.Cleanup(p.Close)
	return p
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against more connections than the budget, a connection used by two
// goroutines at once, and a waiter that is never woken.
func TestBudgetHoldsUnderContention(t *testing.T) {
	s, target := startServer(t, nil)
	p := newPooler(t, 3)
	ctx := testContext(t)
	var inUse sync.Map
	var running sync.WaitGroup
	var maxOpen atomic.Int64
	for w := range 16 {
		running.Go(func() {
			for i := range 20 {
				c, err := p.Acquire(ctx, target, identifier.WorkspaceName(fmt.Sprint("w", w%3)))
				if !qt.Check(t, err, qt.IsNil) {
					return
				}
				_, taken := inUse.LoadOrStore(c, true)
				qt.Check(t, taken, qt.IsFalse)
				open := int64(p.Open("s"))
				for highest := maxOpen.Load(); open > highest && !maxOpen.CompareAndSwap(highest, open); {
					highest = maxOpen.Load()
				}
				inUse.Delete(c)
				p.Release(c, i%7 != 0)
			}
		})
	}
	running.Wait()
	qt.Assert(t, maxOpen.Load() <= 3, qt.IsTrue)
	for _, l := range s.Logins() {
		qt.Assert(t, l.Parameters["application_name"], qt.Equals, "i1")
	}
}

// Guards against a wait that continues after its context has ended or MaxWait has
// passed, and against losing a connection that is sent to a waiter that gave up.
func TestWaitEndsWithContext(t *testing.T) {
	_, target := startServer(t, nil)
	p := newPooler(t, 1)
	held, err := p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = p.Acquire(ctx, target, "shop")
	qt.Assert(t, errors.Is(err, pooler.ErrPoolExhausted), qt.IsTrue)
	p.MaxWait = time.Millisecond
	_, err = p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, errors.Is(err, pooler.ErrPoolExhausted), qt.IsTrue)
	p.Release(held, true)
	again, err := p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, held)
	p.Release(again, false)
	qt.Assert(t, p.Open("s"), qt.Equals, 0)
}

// Guards against reusing a connection to a server that has died, and against
// dropping the cause of a failed login from the error.
func TestClosedAndRefusedConnections(t *testing.T) {
	s, target := startServer(t, func(s *backendserver.Server) { s.MaxConnections = 1 })
	p := newPooler(t, 2)
	refused := 0
	p.OnTooManyConnections = func(identifier.BackendServerID) { refused++ }
	first, err := p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, errors.Is(err, pooler.ErrConnect), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, ".*53300.*")
	qt.Assert(t, refused, qt.Equals, 1)
	p.Release(first, true)
	qt.Assert(t, s.Kill(true), qt.IsNil)
	qt.Assert(t, s.Restart(), qt.IsNil)
	second, err := p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second, qt.Not(qt.Equals), first)
	p.Release(second, true)
	p.Close()
	_, err = p.Acquire(testContext(t), target, "shop")
	qt.Assert(t, errors.Is(err, pooler.ErrClosed), qt.IsTrue)
}

// Guards against statements that time out one after the other on idle connections
// that no longer respond.
func TestDistrustClosesUnusedConnections(t *testing.T) {
	s, target := startServer(t, nil)
	p := newPooler(t, 2)
	var held [2]*pooler.Conn
	for i := range held {
		var err error
		held[i], err = p.Acquire(testContext(t), target, "shop")
		qt.Assert(t, err, qt.IsNil)
	}
	p.Release(held[0], true)
	s.HangOpenConnections()
	p.CheckConnections(target, time.Now())
	qt.Assert(t, p.Open("s"), qt.Equals, 1)
	fresh, err := p.Acquire(testContext(t), target, "desk")
	qt.Assert(t, err, qt.IsNil)
	p.Release(fresh, true)
	p.Release(held[1], false)
}

// Guards against SQL injection by the name of a workspace.
func TestLiteral(t *testing.T) {
	for text, want := range map[string]string{"shop": "'shop'", "o'neil": "'o''neil'", `a\'b`: ` E'a\\''b'`} {
		qt.Check(t, pooler.Literal(text), qt.Equals, want)
	}
}
