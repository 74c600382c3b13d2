package acceptor_test

import (
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
