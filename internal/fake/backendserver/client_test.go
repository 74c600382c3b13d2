package backendserver_test

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"go.uber.org/goleak"

	"oleanderpulley/internal/fake/backendserver"
)

// closing counts the connections that pgx still closes in the background.
var closing sync.WaitGroup

// closingMain waits for pgx after the tests. A statement that timed out is cancelled over a
// new connection, and a listener that closes at that moment can drop its SYN: it is sent
// again after a second, longer than goleak waits.
type closingMain struct{ m *testing.M }

func (c closingMain) Run() int {
	code := c.m.Run()
	closing.Wait()
	return code
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(closingMain{m}) }

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, n int, configure func(*backendserver.Server)) []*backendserver.Server {
	g, err := backendserver.StartGroup("m", n, configure)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, g.Close(), qt.IsNil) })
	return g.Servers()
}

func connectionURL(s *backendserver.Server, options string) string {
	return "postgres://proxy:secret@" + s.Address() + "/rentas-core-1?sslmode=disable" + options
}

func connect(t *testing.T, s *backendserver.Server, options string) *pgx.Conn {
	c, err := pgx.Connect(testContext(t), connectionURL(s, options))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = c.Close(ctx)
		closing.Go(func() { <-c.PgConn().CleanupDone() })
	})
	return c
}

func exec(t *testing.T, c *pgx.Conn, query string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(testContext(t), query, args...)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", query))
	return tag
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Guards against types, prepared statements or command tags that an unmodified
// client cannot use in one of the query modes of pgx.
func TestQueryModes(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	c := connect(t, s, "")
	exec(t, c, "CREATE TABLE slots (id bigint PRIMARY KEY, name text NOT NULL, free boolean, taken int)")
	for i, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			ctx := testContext(t)
			for range 2 {
				var id int64
				err := c.QueryRow(ctx, "INSERT INTO slots (id, name, free, taken) VALUES ($1, $2, $3, 5) RETURNING id",
					mode, int64(i), "it's", true).Scan(&id)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, id, qt.Equals, int64(i))
				tag, err := c.Exec(ctx, "UPDATE slots SET taken = taken + $1, free = NULL WHERE id = $2", mode, 2, int64(i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, tag.String(), qt.Equals, "UPDATE 1")
				var name string
				var free *bool
				var taken int32
				err = c.QueryRow(ctx, "/* oleanderpulley: route=x */ SELECT name, free, taken FROM slots WHERE id = $1", mode, int64(i)).
					Scan(&name, &free, &taken)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, name, qt.Equals, "it's")
				qt.Assert(t, free, qt.IsNil)
				qt.Assert(t, taken, qt.Equals, int32(7))
				_, err = c.Exec(ctx, "INSERT INTO slots VALUES ($1, $2)", mode, int64(i), "x")
				qt.Assert(t, sqlState(err), qt.Equals, "23505")
				tag, err = c.Exec(ctx, "DELETE FROM slots WHERE id = $1", mode, int64(i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, tag.RowsAffected(), qt.Equals, int64(1))
			}
		})
	}
}

// Guards against failures of database/sql clients, and against wrong results of
// ORDER BY, LIMIT and count.
func TestDatabaseSQL(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	ctx := testContext(t)
	db, err := sql.Open("pgx", connectionURL(s, ""))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = db.Close() }()
	_, err = db.ExecContext(ctx, "CREATE TABLE k (id int8, v text); INSERT INTO k VALUES (10, 'a'), (9, 'b'), (-1, 'c')")
	qt.Assert(t, err, qt.IsNil)
	tx, err := db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
	qt.Assert(t, err, qt.IsNil)
	rows, err := tx.QueryContext(ctx, "SELECT id, v FROM k WHERE id > $1 ORDER BY id DESC LIMIT 2", -5)
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for rows.Next() {
		var id int64
		var v string
		qt.Assert(t, rows.Scan(&id, &v), qt.IsNil)
		got = append(got, v)
	}
	qt.Assert(t, rows.Err(), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []string{"a", "b"})
	_, err = tx.ExecContext(ctx, "DELETE FROM k")
	qt.Assert(t, sqlState(err), qt.Equals, "25006")
	qt.Assert(t, tx.Rollback(), qt.IsNil)
	var n int
	qt.Assert(t, db.QueryRowContext(ctx, "SELECT count(*) FROM k WHERE v <> 'c'").Scan(&n), qt.IsNil)
	qt.Assert(t, n, qt.Equals, 2)
	qt.Assert(t, db.PingContext(ctx), qt.IsNil)
}

// Guards against dirty reads, lost updates, wrong transaction status bytes, and
// locks that remain after the connection of their transaction closes.
func TestTransactions(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	a, b := connect(t, s, ""), connect(t, s, "")
	ctx := testContext(t)
	exec(t, a, "CREATE TABLE k (id int8, n int8)")
	exec(t, a, "INSERT INTO k VALUES (1, 0)")
	exec(t, a, "BEGIN")
	qt.Assert(t, a.PgConn().TxStatus(), qt.Equals, byte('T'))
	exec(t, a, "UPDATE k SET n = n + 1 WHERE id = 1")
	exec(t, a, "INSERT INTO k VALUES (2, 0)")
	var n int64
	qt.Assert(t, b.QueryRow(ctx, "SELECT n FROM k").Scan(&n), qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(0))
	updated := make(chan error, 1)
	go func() {
		_, err := b.Exec(ctx, "UPDATE k SET n = n + 1 WHERE id = 1")
		updated <- err
	}()
	_, err := a.Exec(ctx, "SELECT nothing FROM k")
	qt.Assert(t, sqlState(err), qt.Equals, "42703")
	qt.Assert(t, a.PgConn().TxStatus(), qt.Equals, byte('E'))
	_, err = a.Exec(ctx, "SELECT 1")
	qt.Assert(t, sqlState(err), qt.Equals, "25P02")
	qt.Assert(t, exec(t, a, "COMMIT").String(), qt.Equals, "ROLLBACK")
	qt.Assert(t, a.PgConn().TxStatus(), qt.Equals, byte('I'))
	qt.Assert(t, <-updated, qt.IsNil)

	exec(t, a, "BEGIN")
	exec(t, a, "UPDATE k SET n = n + 1 WHERE id = 1")
	qt.Assert(t, a.PgConn().Conn().Close(), qt.IsNil)
	exec(t, b, "UPDATE k SET n = n + 1 WHERE id = 1")
	qt.Assert(t, b.QueryRow(ctx, "SELECT n FROM k WHERE id = 1").Scan(&n), qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(2))
}

// Guards against a deadlock that blocks both transactions forever.
func TestDeadlock(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	a, b := connect(t, s, ""), connect(t, s, "")
	exec(t, a, "CREATE TABLE k (id int8, n int8)")
	exec(t, a, "INSERT INTO k VALUES (1, 0), (2, 0)")
	exec(t, a, "BEGIN; UPDATE k SET n = 1 WHERE id = 1")
	exec(t, b, "BEGIN; UPDATE k SET n = 2 WHERE id = 2")
	failed := make(chan string, 2)
	for c, id := range map[*pgx.Conn]int{a: 2, b: 1} {
		go func() {
			_, err := c.Exec(testContext(t), "UPDATE k SET n = 3 WHERE id = $1", id)
			if err == nil {
				_, err = c.Exec(testContext(t), "COMMIT")
			}
			failed <- sqlState(err)
		}()
	}
	first, second := <-failed, <-failed
	qt.Assert(t, first+second, qt.Equals, "40P01")
}

// Guards against COPY that loses rows or special characters.
func TestCopy(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	c := connect(t, s, "")
	ctx := testContext(t)
	exec(t, c, "CREATE TABLE k (id int8, v text)")
	n, err := c.CopyFrom(ctx, pgx.Identifier{"k"}, []string{"id", "v"}, pgx.CopyFromRows([][]any{{int64(1), "a\tb"}, {int64(2), nil}}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(2))
	tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader("3\tx\\ny\n"), "COPY k FROM STDIN")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tag.String(), qt.Equals, "COPY 1")
	var out bytes.Buffer
	_, err = c.PgConn().CopyTo(ctx, &out, "COPY k TO STDOUT")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "1\ta\\tb\n2\t\\N\n3\tx\\ny\n")
	_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("4\tx\n3\tagain\n"), "COPY k FROM STDIN")
	qt.Assert(t, sqlState(err), qt.Equals, "23505")
	var count int
	qt.Assert(t, c.QueryRow(ctx, "SELECT count(*) FROM k").Scan(&count), qt.IsNil)
	qt.Assert(t, count, qt.Equals, 3)
}

// Guards against session state that remains after DISCARD ALL or a rollback,
// and against advisory locks that do not exclude each other.
func TestSessionState(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	a, b := connect(t, s, "&application_name=i-1"), connect(t, s, "")
	ctx := testContext(t)
	show := func(name string) (v string) {
		qt.Assert(t, a.QueryRow(ctx, "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&v), qt.IsNil)
		return v
	}
	qt.Assert(t, show("application_name"), qt.Equals, "i-1")
	exec(t, a, "SET application_name = 'other'")
	qt.Assert(t, a.PgConn().ParameterStatus("application_name"), qt.Equals, "other")
	exec(t, a, "BEGIN; SET oleanderpulley.workspace = 'w'; ROLLBACK")
	_, err := a.Exec(ctx, "SHOW oleanderpulley.workspace")
	qt.Assert(t, sqlState(err), qt.Equals, "42704")
	try := func(c *pgx.Conn, f string) (ok bool) {
		qt.Assert(t, c.QueryRow(ctx, "SELECT "+f+"($1)", 7).Scan(&ok), qt.IsNil)
		return ok
	}
	qt.Assert(t, try(a, "pg_try_advisory_lock"), qt.IsTrue)
	qt.Assert(t, try(b, "pg_try_advisory_lock"), qt.IsFalse)
	exec(t, a, "PREPARE p (int8) AS SELECT $1 + 1")
	var n int64
	qt.Assert(t, a.QueryRow(ctx, "EXECUTE p (41)").Scan(&n), qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(42))
	_, err = a.Exec(ctx, "DISCARD ALL; SELECT 1")
	qt.Assert(t, sqlState(err), qt.Equals, "25001")
	_, err = a.Exec(ctx, "SET route = 'x'")
	qt.Assert(t, sqlState(err), qt.Equals, "42704")
	_, err = pgx.Connect(ctx, connectionURL(s, "&route=x"))
	qt.Assert(t, sqlState(err), qt.Equals, "42704")
	exec(t, a, "DISCARD ALL")
	_, err = a.Exec(ctx, "EXECUTE p (41)")
	qt.Assert(t, sqlState(err), qt.Equals, "26000")
	qt.Assert(t, show("application_name"), qt.Equals, "i-1")
	qt.Assert(t, try(b, "pg_try_advisory_lock"), qt.IsTrue)
	qt.Assert(t, try(b, "pg_advisory_unlock"), qt.IsTrue)
}

// Guards against cancel requests without effect, and against limits on
// connections or slots, or passwords, that are not enforced.
func TestLimits(t *testing.T) {
	s := startGroup(t, 1, func(s *backendserver.Server) {
		s.Slots, s.MaxConnections, s.Password = 1, 2, "secret"
	})[0]
	ctx := testContext(t)
	_, err := pgx.Connect(ctx, "postgres://proxy:wrong@"+s.Address()+"/x?sslmode=disable")
	qt.Assert(t, sqlState(err), qt.Equals, "28P01")
	a, b := connect(t, s, ""), connect(t, s, "")
	_, err = pgx.Connect(ctx, connectionURL(s, ""))
	qt.Assert(t, sqlState(err), qt.Equals, "53300")
	started := time.Now()
	done := make(chan error, 2)
	for _, c := range []*pgx.Conn{a, b} {
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(0.05)")
			done <- err
		}()
	}
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, time.Since(started) >= 100*time.Millisecond, qt.IsTrue)

	go func() {
		_, err := a.Exec(ctx, "SELECT pg_sleep(3600)")
		done <- err
	}()
	for err = nil; err == nil; {
		qt.Assert(t, a.PgConn().CancelRequest(ctx), qt.IsNil)
		select {
		case err = <-done:
		case <-time.After(time.Millisecond):
		}
	}
	qt.Assert(t, sqlState(err), qt.Equals, "57014")
	logins := s.Logins()
	qt.Assert(t, logins, qt.HasLen, 4)
	qt.Assert(t, logins[0].Password, qt.Equals, "wrong")
	qt.Assert(t, logins[1].User, qt.Equals, "proxy")
	qt.Assert(t, logins[1].Database, qt.Equals, "rentas-core-1")
}
