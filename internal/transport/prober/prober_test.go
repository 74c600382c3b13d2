package prober_test

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/connector"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
	"oleanderpulley/internal/transport/prober"
)

// observation is one call of OnStatus.
type observation struct {
	status         tracker.MemberStatus
	sent, received time.Time
}

// start returns a prober for a group of one member, that member, and channels that
// receive the prober's observations and suspicions.
func start(t *testing.T) (*prober.Prober, *backendserver.Server, chan observation, chan error) {
	existing := goleak.IgnoreCurrent()
	s := &backendserver.Server{ID: "b-1"}
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { allocator.Release(address) })
	_, err = s.Start(address)
	qt.Assert(t, err, qt.IsNil)
	answers, suspicions := make(chan observation, 1000), make(chan error, 100)
	p := &prober.Prober{
		OnStatus: func(_ identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time) {
			answers <- observation{st, sent, received}
		},
		OnSuspected: func(_ identifier.ServiceName, _ identifier.BackendServerID, cause error, _ time.Time) {
			suspicions <- cause
		},
	}
	p.SetGroup("s", []prober.Member{{Server: "b-1", Address: address}})
	t.Cleanup(func() {
		p.Close()
		qt.Check(t, s.Close(), qt.IsNil)
		goleak.VerifyNone(t, existing)
	})
	return p, s, answers, suspicions
}

func receive[T any](t *testing.T, what string, c <-chan T, limit time.Duration) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(limit):
		t.Fatalf("not within %s: %s", limit, what)
	}
	return v
}

// receiveSince waits for the answer to a query that was sent at since or later.
// Answers of periodic samples from before may still be queued.
func receiveSince(t *testing.T, what string, answers <-chan observation, since time.Time) {
	t.Helper()
	for receive(t, what, answers, 5*time.Second).sent.Before(since) {
	}
}

// Guards against load from groups that are not in use, against too long intervals
// between the samples of a group in use, and against too short ones on demand.
func TestSamplingFollowsUse(t *testing.T) {
	// With Go 1.26.8 and the race detector, two goroutines of a bubble that find expired
	// timers at the same time crash the process.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		p, answers := startOnPipes(t)
		select {
		case <-answers:
			t.Fatal("an unused group was sampled")
		case <-time.After(600 * time.Millisecond):
		}
		qt.Assert(t, p.Counts(), qt.Equals, prober.Counts{})

		p.KeepSampled("s")
		last := receive(t, "first sample", answers, time.Second)
		for range 3 {
			a := receive(t, "sample in use", answers, time.Second)
			qt.Assert(t, a.sent.Sub(last.sent), qt.Equals, 400*time.Millisecond)
			last = a
		}
		for range 5 {
			requestedAt := time.Now()
			p.RequestSample("s")
			a := receive(t, "sample on demand", answers, time.Second)
			qt.Assert(t, a.sent.Before(requestedAt), qt.IsFalse)
			qt.Assert(t, a.sent.Sub(last.sent), qt.Equals, 10*time.Millisecond)
			last = a
		}
		c := p.Counts()
		qt.Assert(t, c.Connections, qt.Equals, uint64(1))
		qt.Assert(t, c.Queries, qt.Equals, uint64(9))
		t.Logf("%d bytes sent and %d received by %d queries", c.Sent, c.Received, c.Queries)
	})
}

// startOnPipes returns a prober for a group of one member, which it reaches through pipes,
// and a channel that receives its observations. It is called in a synctest bubble, where no
// time passes while a goroutine runs.
func startOnPipes(t *testing.T) (*prober.Prober, chan observation) {
	network := &connector.Network{}
	s := &backendserver.Server{ID: "b-1", Listen: network.Listen}
	address, err := s.Start("127.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	answers := make(chan observation, 1000)
	p := &prober.Prober{
		OnStatus: func(_ identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time) {
			answers <- observation{st, sent, received}
		},
		Dial: network.Dial,
	}
	p.SetGroup("s", []prober.Member{{Server: "b-1", Address: address}})
	t.Cleanup(func() {
		p.Close()
		qt.Check(t, s.Close(), qt.IsNil)
	})
	return p, answers
}

// Guards against suspecting a member only because one connection is unresponsive,
// and against failing to suspect a member that is unresponsive or has stopped.
func TestSuspicion(t *testing.T) {
	p, s, answers, suspicions := start(t)
	p.KeepSampled("s")
	receive(t, "first sample", answers, time.Second)
	s.HangOpenConnections()
	p.RequestSample("s")
	receive(t, "answer on a new connection", answers, time.Second)
	qt.Assert(t, p.Counts().Connections, qt.Equals, uint64(2))
	qt.Assert(t, p.Suspected("s", "b-1"), qt.IsFalse)

	s.SetFaults(backendserver.Faults{Paused: true})
	began := time.Now()
	p.RequestSample("s")
	cause := receive(t, "suspicion of a silent member", suspicions, 4*time.Second)
	qt.Assert(t, errors.Is(cause, prober.ErrNoAnswer), qt.IsTrue, qt.Commentf("%v", cause))
	qt.Assert(t, time.Since(began) >= 2*time.Second, qt.IsTrue)
	s.SetFaults(backendserver.Faults{})
	resumed := time.Now()
	p.RequestSample("s")
	receiveSince(t, "answer after the pause", answers, resumed)
	qt.Assert(t, p.Suspected("s", "b-1"), qt.IsFalse)

	qt.Assert(t, s.Kill(true), qt.IsNil)
	began = time.Now()
	p.RequestSample("s")
	for len(suspicions) > 0 {
		<-suspicions
	}
	receive(t, "suspicion of a dead member", suspicions, 2*time.Second)
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, s.Restart(), qt.IsNil)
	p.RequestSample("s")
	receive(t, "answer after the restart", answers, 2*time.Second)
}

// Guards against a refused administrative statement that is not recognised as
// refused, and against a returned status from before the statement took effect.
func TestAdministrativeStatements(t *testing.T) {
	p, _, _, suspicions := start(t)
	ctx := context.Background()
	st, err := p.Fence(ctx, "s", "b-1", 3, "it's me")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.Promised, qt.Equals, identifier.Term(3))
	_, err = p.Fence(ctx, "s", "b-1", 2, "other")
	qt.Assert(t, errors.Is(err, promoter.ErrRefused), qt.IsTrue)
	st, err = p.Promote(ctx, "s", "b-1", 3, "it's me")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.Role, qt.Equals, tracker.Primary)
	qt.Assert(t, st.History, qt.DeepEquals, []tracker.TermStart{{Term: 1}, {Term: 3}})
	_, err = p.Follow(ctx, "s", "b-1", 3, "127.0.0.1:1")
	qt.Assert(t, errors.Is(err, promoter.ErrRefused), qt.IsTrue)
	_, err = p.Status(ctx, "s", "b-2")
	qt.Assert(t, errors.Is(err, prober.ErrNotMember), qt.IsTrue)
	qt.Assert(t, suspicions, qt.HasLen, 0)
}
