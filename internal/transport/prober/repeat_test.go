package prober_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/backendserver"
)

// Guards against a status from before a write that is recorded as the answer to a
// query that was sent after it, because the server has sent it twice.
func TestRepeatedStatus(t *testing.T) {
	for _, late := range []bool{false, true} {
		p, s, answers, _ := start(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		conn, err := pgx.Connect(ctx, "postgres://proxy@"+s.Address()+"/s?sslmode=disable")
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close(ctx)
		_, err = conn.Exec(ctx, "CREATE TABLE t (id int PRIMARY KEY)")
		qt.Assert(t, err, qt.IsNil)
		for i := range 4 { // The first two queries prepare the statement.
			p.KeepSampled("s")
			s.SetFaults(backendserver.Faults{RepeatResponses: 1, RepeatLate: late, RepeatSQL: "group_member_status"})
			armed := time.Now()
			p.RequestSample("s")
			receiveSince(t, "status that is sent twice", answers, armed)
			s.SetFaults(backendserver.Faults{})
			_, err = conn.Exec(ctx, "INSERT INTO t VALUES ($1)", i)
			qt.Assert(t, err, qt.IsNil)
			applied, written := s.Status().Applied, time.Now()
			p.RequestSample("s")
			for {
				a := receive(t, "status after the write", answers, 5*time.Second)
				if a.sent.Before(written) {
					continue
				}
				qt.Assert(t, uint64(a.status.Applied), qt.Equals, applied, qt.Commentf("query %d, late %v", i, late))
				break
			}
		}
	}
}
