package acceptor_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/acceptor"
)

// Guards against a first read at a primary that was replaced before the session
// started: the read must carry the start of the session. After a write by the
// session, the term of that write is checked instead.
func TestFirstReadCarriesSessionStart(t *testing.T) {
	reads := make(chan acceptor.ReadRequirements, 10)
	f := startFixture(t, func(f *fixture) {
		f.sampleKnown = false
		f.RouteRead = func(service identifier.ServiceName, read acceptor.ReadRequirements) (acceptor.Target, error) {
			reads <- read
			return f.routeRead(service, read)
		}
	})
	before := time.Now()
	ctx := timeLimit(t)
	conn, err := pgx.Connect(ctx, f.url())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	var v string
	qt.Assert(t, conn.QueryRow(ctx, "SELECT v FROM t WHERE id = 1").Scan(&v), qt.IsNil)
	first := <-reads
	qt.Assert(t, first.PositionKnown, qt.IsFalse)
	qt.Assert(t, first.SessionStart.After(before), qt.IsTrue)
	_, err = conn.Exec(ctx, "UPDATE t SET v = 'x' WHERE id = 1")
	qt.Assert(t, err, qt.IsNil)
	for len(reads) > 0 {
		<-reads
	}
	qt.Assert(t, conn.QueryRow(ctx, "SELECT v FROM t WHERE id = 1").Scan(&v), qt.IsNil)
	qt.Assert(t, (<-reads).SessionStart.IsZero(), qt.IsTrue)
}

// Guards against a read that misses its session's write: a sample from before the
// write, which is delivered for an earlier write while this one is recorded, must
// not become the session's floor.
func TestSampleOfAnEarlierWriteIsNoFloor(t *testing.T) {
	reads := make(chan acceptor.ReadRequirements, 10)
	delivering, secondWrite := make(chan bool), make(chan bool)
	var writes atomic.Int32
	var delivered atomic.Bool
	f := startFixture(t, func(f *fixture) {
		f.RouteRead = func(service identifier.ServiceName, read acceptor.ReadRequirements) (acceptor.Target, error) {
			reads <- read
			return f.routeRead(service, read)
		}
		f.SampledPosition = func(identifier.ServiceName, time.Time) (identifier.Position, bool) {
			if writes.Load() != 1 || !delivered.CompareAndSwap(false, true) {
				return identifier.Position{}, false
			}
			close(delivering)
			select {
			case <-secondWrite:
			case <-t.Context().Done():
			}
			return identifier.Position{Term: 1, Offset: 5}, true
		}
		f.RequestSample = func(identifier.ServiceName) {
			if writes.Add(1) == 2 {
				close(secondWrite)
			}
		}
	})
	ctx := timeLimit(t)
	conn, err := pgx.Connect(ctx, f.url())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	execute := func(sql string) {
		_, err := conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		qt.Assert(t, err, qt.IsNil)
	}
	execute("UPDATE t SET v = 'x' WHERE id = 1")
	select {
	case <-delivering:
	case <-ctx.Done():
		t.Fatal("no sample was requested for the first write")
	}
	execute("UPDATE t SET v = 'y' WHERE id = 1")
	execute("SELECT v FROM t WHERE id = 1")
	read := <-reads
	qt.Assert(t, read.PositionKnown, qt.IsFalse, qt.Commentf("floor %v", read.Floor))
}
