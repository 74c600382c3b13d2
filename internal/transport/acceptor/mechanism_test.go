package acceptor_test

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/pooler"
)

// mechanism is a safety mechanism with a scenario, which reports whether harm
// occurred, and a function that disables the mechanism.
type mechanism struct {
	name     string
	scenario func(t *testing.T, takeOut func(*fixture)) (harm bool)
	disable  func(*fixture)
}

// Guards against a mechanism that no longer prevents harm, and against a
// scenario that would not detect its absence.
func TestMechanismsPreventHarm(t *testing.T) {
	for _, m := range []mechanism{
		{"right check before the acknowledgement", acknowledgesWithoutRight, func(f *fixture) {
			f.HoldsWriteRight = func(identifier.ServiceName, identifier.Term) bool { return true }
		}},
		{"reset on a change of workspace", leavesWorkspaceState, func(f *fixture) {
			f.Pooler.Reset = func(context.Context, *pooler.Conn, identifier.WorkspaceName) error { return nil }
		}},
		{"no retry after sending", runsTwice, func(f *fixture) { f.SetRetryAfterSend(true) }},
		{"closing of connections with unread answers", receivesForeignResponse, func(f *fixture) {
			f.Pooler.Reusable = func(*pooler.Conn) bool { return true }
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			qt.Check(t, m.scenario(t, nil), qt.IsFalse)
			qt.Check(t, m.scenario(t, m.disable), qt.IsTrue)
		})
	}
}

func query(t *testing.T, c *testClient, sql string) string {
	sr := &scriptRunner{t: t}
	sr.runClientCommand(c, "query", sql)
	return sr.out.String()
}

func acknowledgesWithoutRight(t *testing.T, disable func(*fixture)) bool {
	checks := 0
	f := startFixture(t, func(f *fixture) {
		f.HoldsWriteRight = func(identifier.ServiceName, identifier.Term) bool {
			// The right is held until the statement is sent and lost when the
			// response arrives.
			checks++
			return checks <= 2
		}
		if disable != nil {
			disable(f)
		}
	})
	return strings.Contains(query(t, connect(t, f.address, nil), "INSERT INTO t VALUES (3, 'three')"), "done INSERT")
}

func leavesWorkspaceState(t *testing.T, disable func(*fixture)) bool {
	f := startFixture(t, disable)
	query(t, connect(t, f.address, nil), "UPDATE t SET v = 'x' WHERE id = 1")
	query(t, connect(t, f.address, []string{"user=desk"}), "UPDATE t SET v = 'y' WHERE id = 1")
	records := f.servers[0].Records()
	return records[len(records)-1].Workspace != "desk"
}

func runsTwice(t *testing.T, disable func(*fixture)) bool {
	f := startFixture(t, disable)
	f.execOnPrimary(t, "CREATE TABLE n (id int PRIMARY KEY, v int)")
	f.execOnPrimary(t, "INSERT INTO n VALUES (1, 0)")
	sr := &scriptRunner{t: t, fixture: f}
	sr.runCommand("lose", "")
	c := connect(t, f.address, nil)
	query(t, c, "UPDATE n SET v = v + 1 WHERE id = 1")
	return strings.Contains(query(t, c, "SELECT v FROM n"), `"2"`)
}

// receivesForeignResponse makes the server send a response twice, and reports
// whether the next session receives the extra one.
func receivesForeignResponse(t *testing.T, disable func(*fixture)) bool {
	row := func(v byte) []byte {
		out := framer.AppendFrame(nil, 'D', 0, 1, 0, 0, 0, 1, v)
		return framer.AppendFrame(framer.AppendText(out, 'C', "SELECT 1"), 'Z', 'I')
	}
	l := startScriptedServer(t, func(sql string) []byte {
		switch {
		case strings.Contains(sql, "'a'"):
			return append(row('a'), row('a')...)
		case strings.Contains(sql, "'b'"):
			return row('b')
		}
		return framer.AppendFrame(framer.AppendText(nil, 'C', "SET"), 'Z', 'I')
	})
	a := newTestAcceptor(l.Addr().String())
	if disable != nil {
		disable(&fixture{Acceptor: a})
	}
	address := serveAcceptor(t, a)
	query(t, connect(t, address, nil), "SELECT 'a'")
	return !strings.Contains(query(t, connect(t, address, nil), "SELECT 'b'"), `row ["b"]`)
}
