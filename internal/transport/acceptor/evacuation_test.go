package acceptor_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/acceptor"
)

// startEvacuationFixture returns a fixture that reads at the primary s-1, and a
// function that evacuates it, so that reads go to the replica s-2. Statements of open transactions may run there as long as held
// returns true.
func startEvacuationFixture(t *testing.T) (f *fixture, evacuate func(held bool)) {
	var evacuated, held atomic.Bool
	f = startFixture(t, func(f *fixture) {
		f.MayUse = func(server identifier.BackendServerID, heldByClient bool) error {
			if !evacuated.Load() || server != "s-1" || heldByClient && held.Load() {
				return nil
			}
			return errors.Wrap(acceptor.ErrEvacuated, "centro-a")
		}
		f.RouteRead = func(identifier.ServiceName, acceptor.ReadRequirements) (acceptor.Target, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.choice(map[bool]int{true: 1}[evacuated.Load()]), nil
		}
	})
	return f, func(h bool) { held.Store(h); evacuated.Store(true) }
}

const endedTransaction = "ERROR 57P03 not run: evacuation: centro-a: data centre is evacuated; the transaction was rolled back retry-after: 1s"

// Guards against a transaction at an evacuated server that cannot end within the
// grace period, that holds its connection afterwards, or whose client is not told
// truthfully that it was rolled back.
func TestOpenTransactionAtEvacuatedServer(t *testing.T) {
	f, evacuate := startEvacuationFixture(t)
	var clients []*testClient
	for n := range 4 {
		c := connect(t, f.address, nil)
		ask(c, "BEGIN")
		qt.Assert(t, ask(c, fmt.Sprintf("INSERT INTO t VALUES (%d, 'x')", 1000+n)), qt.Equals, "done INSERT 0 1 ready T")
		clients = append(clients, c)
	}
	evacuate(true)
	f.EndEvacuated()
	qt.Assert(t, ask(clients[0], "DELETE FROM t WHERE id = 2"), qt.Equals, "done DELETE 1 ready T")
	qt.Assert(t, ask(clients[0], "COMMIT"), qt.Contains, "done COMMIT")
	evacuate(false)
	f.EndEvacuated()
	awaitConnections(t, f, "s-1", 0)
	qt.Check(t, ask(clients[1], "COMMIT"), qt.Equals, endedTransaction+" ready E")
	qt.Check(t, ask(clients[1], "SELECT 1"), qt.Contains, "25P02")
	qt.Check(t, ask(clients[1], "ROLLBACK"), qt.Equals, "done ROLLBACK ready I")
	qt.Check(t, ask(clients[2], "ROLLBACK"), qt.Equals, "done ROLLBACK ready I")
	clients[3].send(&pgproto3.Sync{})
	qt.Check(t, strings.Join(clients[3].read(), " "), qt.Equals, "ready E")
	clients[3].send(&pgproto3.Parse{Query: "SELECT 1"})
	clients[3].send(&pgproto3.Sync{})
	qt.Check(t, strings.Join(clients[3].read(), " "), qt.Equals, endedTransaction+" ready E")
	for _, c := range clients[1:] {
		ask(c, "ROLLBACK")
		qt.Check(t, ask(c, "INSERT INTO t VALUES (1001, 'x')"), qt.Contains, "57P03 not run: evacuation: centro-a")
	}
}

// Guards against a session with state on its connection that continues without the
// state.
func TestPinnedSessionAtEvacuatedServer(t *testing.T) {
	f, evacuate := startEvacuationFixture(t)
	c := connect(t, f.address, nil)
	qt.Assert(t, ask(c, "LISTEN c"), qt.Contains, "ready I")
	evacuate(false)
	answered := make(chan string, 1)
	go func() { answered <- strings.Join(c.read(), " ") }()
	qt.Assert(t, awaitAnswer(t, f, answered), qt.Equals,
		"FATAL 57P03 not run: evacuation: centro-a: data centre is evacuated; the state of the session is lost retry-after: 1s closed")
}

// Guards against statements that run at an evacuated server without limit, against
// a repeated write, and against an untruthful answer for it.
func TestRunningStatementAtEvacuatedServer(t *testing.T) {
	f, evacuate := startEvacuationFixture(t)
	reader, writer := connect(t, f.address, nil), connect(t, f.address, nil)
	locker, err := pgconn.Connect(t.Context(), fmt.Sprintf("postgres://proxy:secret@%s/rentals?sslmode=disable", f.servers[0].Address()))
	qt.Assert(t, err, qt.IsNil)
	defer locker.Close(t.Context())
	_, err = locker.Exec(t.Context(), "BEGIN; UPDATE t SET v = 'locked' WHERE id = 2").ReadAll()
	qt.Assert(t, err, qt.IsNil)
	reader.send(&pgproto3.Query{String: "SELECT pg_sleep(1)"})
	writer.send(&pgproto3.Query{String: "UPDATE t SET v = 'x' WHERE id = 2"})
	awaitRecords(t, f.servers[0], "pg_sleep", "v = 'x'")
	evacuate(false)
	for _, c := range []*testClient{reader, writer} {
		answered := make(chan string, 1)
		go func() { answered <- strings.Join(c.read(), " ") }()
		want := map[bool]string{true: "done SELECT 1", false: "ERROR 40003 outcome unknown"}[c == reader]
		qt.Check(t, awaitAnswer(t, f, answered), qt.Contains, want)
	}
	awaitRecords(t, f.servers[1], "pg_sleep")
	awaitConnections(t, f, "s-1", 0)
}

// ask sends a statement and returns the messages of the answer on one line.
func ask(c *testClient, sql string) string {
	c.send(&pgproto3.Query{String: sql})
	return strings.Join(c.read(), " ")
}

// awaitAnswer calls EndEvacuated repeatedly, as the owner does, until there is an
// answer.
func awaitAnswer(t *testing.T, f *fixture, answered <-chan string) string {
	ctx := timeLimit(t)
	for {
		select {
		case a := <-answered:
			return a
		case <-ctx.Done():
			t.Fatal("no answer")
		case <-time.After(10 * time.Millisecond):
			f.EndEvacuated()
		}
	}
}

// awaitRecords waits until the server has received statements with the given parts.
func awaitRecords(t *testing.T, server *backendserver.Server, parts ...string) {
	ctx := timeLimit(t)
	for {
		missing := slices.Clone(parts)
		for _, r := range server.Records() {
			missing = slices.DeleteFunc(missing, func(part string) bool { return strings.Contains(r.SQL, part) })
		}
		if len(missing) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s has not received %q", server.ID, missing)
		case <-time.After(time.Millisecond):
		}
	}
}

// awaitConnections waits until the pooler has the given number of connections to
// the server. It closes idle ones.
func awaitConnections(t *testing.T, f *fixture, server identifier.BackendServerID, want int) {
	ctx := timeLimit(t)
	for {
		f.Pooler.CloseIdle(server)
		if f.Pooler.Open(server) == want {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%d connections to %s, want %d", f.Pooler.Open(server), server, want)
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against repeating a statement that no server may run until the retry time
// is over, and against a refusal without a reason.
func TestEvacuatedServiceIsRefusedAtOnce(t *testing.T) {
	f := startFixture(t, func(f *fixture) {
		f.RetryWait = time.Hour
		f.RouteWrite = func(identifier.ServiceName) (acceptor.Target, error) {
			return acceptor.Target{}, refuser.New(refuser.Evacuated, "centro-a")
		}
	})
	c := connect(t, f.address, nil)
	qt.Assert(t, ask(c, "INSERT INTO t VALUES (1003, 'x')"), qt.Equals, "ERROR 57P03 not run: evacuation: centro-a retry-after: 1s ready I")
	qt.Assert(t, ask(c, "SELECT v FROM t WHERE id = 1"), qt.Contains, `row ["one"]`)
}
