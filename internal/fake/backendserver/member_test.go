package backendserver_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/backendserver"
)

// waitFor polls a condition until it is true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	ctx := testContext(t)
	for !ok() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func waitCaughtUp(t *testing.T, primary, replica *backendserver.Server) {
	t.Helper()
	waitFor(t, replica.ID+" has caught up", func() bool {
		p, r := primary.Status(), replica.Status()
		return r.Applied == p.Applied && r.Received == p.Received && r.Term == p.Term
	})
}

func countRows(t *testing.T, s *backendserver.Server) (n int) {
	t.Helper()
	qt.Assert(t, connect(t, s, "").QueryRow(testContext(t), "SELECT count(*) FROM k").Scan(&n), qt.IsNil)
	return n
}

// insertRow inserts a row and returns the SQLSTATE of the error, "lost" if the
// connection was lost, or "".
func insertRow(c *pgx.Conn, id int) string {
	_, err := c.Exec(context.Background(), "INSERT INTO k VALUES ("+strconv.Itoa(id)+")")
	if err != nil && sqlState(err) == "" {
		return "lost"
	}
	return sqlState(err)
}

// failover fences and promotes next for term 2 and makes the others follow it.
// The old primary is unreachable and still considers itself the primary.
func failover(t *testing.T, old, next *backendserver.Server, others ...*backendserver.Server) {
	t.Helper()
	for _, s := range append(others, next) {
		exec(t, connect(t, s, ""), "SELECT group_fence($1, $2)", 2, "i-1")
	}
	exec(t, connect(t, next, ""), "SELECT group_promote(2, 'i-1')")
	for _, s := range others {
		exec(t, connect(t, s, ""), "SELECT group_follow(2, '"+next.Address()+"')")
	}
	qt.Assert(t, old.Status().Role, qt.Equals, backendserver.RolePrimary)
}

// Guards against a server that handles partitions better than a real one: the
// partitioned primary must continue to commit, and those commits must be
// discarded when it follows the new primary. Runs with replication within the
// process and over TCP.
func TestFailover(t *testing.T) {
	for _, mode := range []string{"process", "tcp"} {
		t.Run(mode, func(t *testing.T) {
			list := tcpGroup
			if mode == "process" {
				list = func(t *testing.T) []*backendserver.Server { return startGroup(t, 3, nil) }
			}
			members := list(t)
			a, b, c := members[0], members[1], members[2]
			ca := connect(t, a, "")
			exec(t, ca, "CREATE TABLE k (id int8)")
			qt.Assert(t, insertRow(ca, 1), qt.Equals, "")
			waitCaughtUp(t, a, b)
			waitCaughtUp(t, a, c)
			qt.Assert(t, insertRow(connect(t, b, ""), 2), qt.Equals, "25006")

			a.SetFaults(backendserver.Faults{CutMembers: []string{b.ID, c.ID}})
			qt.Assert(t, insertRow(ca, 3), qt.Equals, "")
			failover(t, a, b, c)
			qt.Assert(t, insertRow(ca, 4), qt.Equals, "")
			qt.Assert(t, insertRow(connect(t, b, ""), 5), qt.Equals, "")
			waitCaughtUp(t, b, c)
			qt.Assert(t, countRows(t, a), qt.Equals, 3)
			qt.Assert(t, countRows(t, c), qt.Equals, 2)

			exec(t, connect(t, a, ""), "SELECT group_fence(2, 'i-1')")
			qt.Assert(t, insertRow(ca, 6), qt.Equals, "25006")
			a.SetFaults(backendserver.Faults{})
			exec(t, ca, "SELECT group_follow(2, '"+b.Address()+"')")
			waitCaughtUp(t, b, a)
			qt.Assert(t, countRows(t, a), qt.Equals, 2)
			qt.Assert(t, a.Status().History, qt.DeepEquals, b.Status().History)
			qt.Assert(t, insertRow(ca, 7), qt.Equals, "25006")
		})
	}
}

// tcpGroup starts three members that replicate over TCP only.
func tcpGroup(t *testing.T) (list []*backendserver.Server) {
	primary := ""
	for _, id := range []string{"t-1", "t-2", "t-3"} {
		s := &backendserver.Server{ID: id, Primary: primary, Password: "secret"}
		address, err := allocator.FreeAddress()
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { allocator.Release(address) })
		_, err = s.Start(address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { qt.Check(t, s.Close(), qt.IsNil) })
		if primary == "" {
			primary = address
		}
		list = append(list, s)
	}
	return list
}

// Guards against promised terms that are not kept, which would let two holders
// start the same term, and against status columns that differ from
// docs/design.md, 5.1.
func TestPromises(t *testing.T) {
	list := startGroup(t, 2, nil)
	c := connect(t, list[1], "")
	call := func(query string) string {
		_, err := c.Exec(testContext(t), query)
		return sqlState(err)
	}
	qt.Assert(t, call("SELECT group_promote(2, 'x')"), qt.Equals, "55000")
	qt.Assert(t, call("SELECT group_fence(3, 'x')"), qt.Equals, "")
	qt.Assert(t, call("SELECT group_fence(3, 'x')"), qt.Equals, "")
	qt.Assert(t, call("SELECT group_fence(3, 'y')"), qt.Equals, "55000")
	qt.Assert(t, call("SELECT group_fence(2, 'x')"), qt.Equals, "55000")
	qt.Assert(t, call("SELECT group_promote(3, 'y')"), qt.Equals, "55000")
	qt.Assert(t, call("SELECT group_promote(2, 'x')"), qt.Equals, "55000")
	qt.Assert(t, call("SELECT group_follow(2, '"+list[0].Address()+"')"), qt.Equals, "55000")
	rows, err := c.Query(testContext(t), "SELECT * FROM group_member_status()")
	qt.Assert(t, err, qt.IsNil)
	row, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	qt.Assert(t, err, qt.IsNil)
	st := list[1].Status()
	qt.Assert(t, row, qt.DeepEquals, map[string]any{
		"server": "m-2", "incarnation": st.Incarnation, "role": "replica", "term": int64(st.Term), "promised_term": int64(3),
		"applied": int64(0), "received": int64(0), "history": row["history"],
	})
	qt.Assert(t, call("SELECT group_promote(3, 'x')"), qt.Equals, "")
	qt.Assert(t, list[1].Status().Role, qt.Equals, "primary")
}

// Guards against replication that ignores the configured lag, and against a
// replica that accepts the log of a primary of a lower term than it has
// promised.
func TestLagAndLowerTerm(t *testing.T) {
	list := startGroup(t, 2, nil)
	a, b := list[0], list[1]
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE k (id int8)")
	waitCaughtUp(t, a, b)
	b.SetLag(0, time.Hour)
	exec(t, c, "INSERT INTO k VALUES (1)")
	waitFor(t, "the replica has received the log", func() bool { return b.Status().Received == a.Status().Received })
	qt.Assert(t, b.Status().Applied < b.Status().Received, qt.IsTrue)
	b.SetLag(0, 0)
	waitCaughtUp(t, a, b)
	qt.Assert(t, b.Fence(2, "x"), qt.IsNil)
	before := b.Status().Received
	exec(t, c, "INSERT INTO k VALUES (2)")
	qt.Assert(t, a.Fence(2, "x"), qt.IsNil)
	qt.Assert(t, insertRow(c, 3), qt.Equals, "25006")
	qt.Assert(t, b.Promote(2, "x"), qt.IsNil)
	qt.Assert(t, b.Status().Received, qt.Equals, before)
}

// Guards against a new primary that does not apply all received entries before
// it serves reads, and against a transaction of an old term that commits in a
// new term.
func TestPromotion(t *testing.T) {
	list := startGroup(t, 2, nil)
	a, b := list[0], list[1]
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE k (id int8)")
	waitCaughtUp(t, a, b)
	b.SetLag(0, time.Hour)
	exec(t, c, "INSERT INTO k VALUES (1)")
	waitFor(t, "the replica has received the log", func() bool { return b.Status().Received == a.Status().Received })
	qt.Assert(t, b.Fence(2, "x"), qt.IsNil)
	qt.Assert(t, b.Promote(2, "x"), qt.IsNil)
	qt.Assert(t, countRows(t, b), qt.Equals, 1)

	exec(t, c, "BEGIN; INSERT INTO k VALUES (2)")
	qt.Assert(t, a.Fence(3, "x"), qt.IsNil)
	qt.Assert(t, a.Promote(3, "x"), qt.IsNil)
	_, err := c.Exec(testContext(t), "COMMIT")
	qt.Assert(t, sqlState(err), qt.Equals, "25006")
	qt.Assert(t, insertRow(c, 2), qt.Equals, "")
}

// Guards against a kill that keeps uncommitted data or loses state that must
// survive, and against a restart that clients cannot detect.
func TestKillAndRestart(t *testing.T) {
	list := startGroup(t, 2, nil)
	a, b := list[0], list[1]
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE k (id int8)")
	exec(t, c, "INSERT INTO k VALUES (1)")
	exec(t, c, "BEGIN; INSERT INTO k VALUES (2)")
	before := a.Status()
	qt.Assert(t, a.Kill(true), qt.IsNil)
	_, err := c.Exec(testContext(t), "COMMIT")
	qt.Assert(t, err, qt.IsNotNil)
	_, err = pgx.Connect(testContext(t), connectionURL(a, ""))
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*refused.*")
	qt.Assert(t, a.Restart(), qt.IsNil)
	after := a.Status()
	qt.Assert(t, after.Incarnation == before.Incarnation, qt.IsFalse)
	qt.Assert(t, after.Role, qt.Equals, backendserver.RolePrimary)
	qt.Assert(t, countRows(t, a), qt.Equals, 1)
	qt.Assert(t, insertRow(connect(t, a, ""), 3), qt.Equals, "")
	waitCaughtUp(t, a, b)
	qt.Assert(t, b.Kill(false), qt.IsNil)
	qt.Assert(t, b.Restart(), qt.IsNil)
	qt.Assert(t, b.Status().Received, qt.Equals, uint64(0))
}

// Guards against statements that are missing in the records, and against
// statements that were rolled back but are recorded as committed.
func TestRecords(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	c := connect(t, s, "")
	exec(t, c, "CREATE TABLE k (id int8)")
	exec(t, c, "SET oleanderpulley.workspace = 'w-1'")
	exec(t, c, "INSERT INTO oleanderpulley_requests (workspace, request_id, digest) VALUES ($1, $2, $3)", "w-1", "r-1", "d")
	_, err := c.Exec(testContext(t), "INSERT INTO oleanderpulley_requests VALUES ('w-1', 'r-1', 'e')")
	qt.Assert(t, sqlState(err), qt.Equals, "23505")
	exec(t, c, "BEGIN; INSERT INTO k VALUES (1)")
	exec(t, c, "ROLLBACK")
	var got [][3]string
	for _, r := range s.Records()[2:] {
		got = append(got, [3]string{r.Workspace, r.SQLState, strconv.FormatBool(r.Committed) + " " + r.SQL})
	}
	qt.Assert(t, got, qt.DeepEquals, [][3]string{
		{"w-1", "", "true INSERT INTO oleanderpulley_requests (workspace, request_id, digest) VALUES ($1, $2, $3)"},
		{"w-1", "23505", "false INSERT INTO oleanderpulley_requests VALUES ('w-1', 'r-1', 'e')"},
		{"w-1", "", "false BEGIN"}, {"w-1", "", "false INSERT INTO k VALUES (1)"}, {"w-1", "", "false ROLLBACK"},
	})
	qt.Assert(t, *s.Records()[2].Arguments[1], qt.Equals, "r-1")
	qt.Assert(t, s.Records()[2].End, qt.Equals, s.Status().Applied)
}

// Guards against a new, empty primary at a known address that makes a replica,
// which still follows this address, discard its log.
func TestNewPrimaryOfAnotherLineage(t *testing.T) {
	list := tcpGroup(t)
	a, b := list[0], list[1]
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE k (id int8)")
	waitCaughtUp(t, a, b)
	qt.Assert(t, a.Close(), qt.IsNil)
	empty := &backendserver.Server{ID: "t-1", Password: "secret"}
	_, err := empty.Start(a.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, empty.Close(), qt.IsNil) }()
	waitFor(t, "a replica has logged in at the empty primary", func() bool { return len(empty.Logins()) > 0 })
	qt.Assert(t, countRows(t, b), qt.Equals, 0)
	qt.Assert(t, b.Status().Received > 0, qt.IsTrue)
}
