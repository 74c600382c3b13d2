package acceptor_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/framer"
)

// repeatCase has the server repeat its response to one statement. The next
// statement must get its own response or an error.
type repeatCase struct {
	name     string
	before   []string
	repeated string
	next     string
	own      string // Part of the own response of next.
}

// runRepeatCase sends the statements in the simple protocol, or those from the
// repeated one on in the extended protocol.
func runRepeatCase(t *testing.T, rc repeatCase, late, extended bool) string {
	f := startFixture(t, nil)
	sr := &scriptRunner{t: t}
	c := connect(t, f.address, nil)
	run := func(sql string, extended bool) {
		sr.out.Reset()
		if extended {
			sr.runClientCommand(c, "ask", "P - "+sql+"; B -; E; S")
		} else {
			sr.runClientCommand(c, "query", sql)
		}
	}
	for _, sql := range rc.before {
		run(sql, false)
		qt.Assert(t, sr.out.String(), qt.Not(qt.Contains), "ERROR", qt.Commentf("%s", sql))
	}
	for _, s := range f.servers {
		s.SetFaults(backendserver.Faults{RepeatResponses: 1, RepeatLate: late, RepeatSQL: rc.repeated})
	}
	run(rc.repeated, extended)
	run(rc.next, extended)
	return sr.out.String()
}

func runRepeatCases(t *testing.T, cases []repeatCase, late bool) {
	for _, rc := range cases {
		for _, extended := range []bool{false, true} {
			name := rc.name + " simple"
			if extended {
				name = rc.name + " extended"
			}
			t.Run(name, func(t *testing.T) {
				got := runRepeatCase(t, rc, late, extended)
				if !strings.Contains(got, "ERROR") && !strings.Contains(got, "FATAL") {
					qt.Check(t, got, qt.Contains, rc.own)
				}
				qt.Check(t, got, qt.Not(qt.Contains), "42703") // The error of the repeated response.
				qt.Check(t, strings.Count(got, "done "), qt.Not(qt.Equals), 2)
			})
		}
	}
}

// Guards against a response that the server sent twice at once and that the next
// statement gets on a connection that the session keeps.
func TestResponseRepeatedAtOnce(t *testing.T) {
	runRepeatCases(t, []repeatCase{
		{"rows in a transaction", []string{"BEGIN"}, "SELECT v FROM t WHERE id = 1", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
		{"write in a transaction", []string{"BEGIN"}, "INSERT INTO t VALUES (3, 'x')", "UPDATE t SET v = 'y' WHERE id > 0", "done UPDATE 3"},
		{"error in a transaction", []string{"BEGIN"}, "SELECT x FROM t", "ROLLBACK", "done ROLLBACK"},
		{"begin", nil, "BEGIN", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
		{"pinned", []string{"SET search_path = x"}, "SELECT v FROM t WHERE id = 1", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
		{"autocommit", nil, "SELECT v FROM t WHERE id = 1", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
	}, false)
}

// Guards against a response that the server sends again after it has received the
// next statement, and that this statement gets although it is of another kind.
func TestResponseRepeatedLate(t *testing.T) {
	runRepeatCases(t, []repeatCase{
		{"begin", nil, "BEGIN", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
		{"rows before write", []string{"BEGIN"}, "SELECT v FROM t WHERE id = 1", "INSERT INTO t VALUES (3, 'x')", "done INSERT 0 1"},
		{"write before rows", []string{"BEGIN"}, "INSERT INTO t VALUES (3, 'x')", "SELECT v FROM t WHERE id = 2", `row ["two"]`},
		{"rows before commit", []string{"BEGIN"}, "SELECT v FROM t WHERE id = 1", "COMMIT", "done COMMIT"},
		{"commit", []string{"BEGIN", "INSERT INTO t VALUES (3, 'x')"}, "COMMIT", "INSERT INTO t VALUES (4, 'x')", "done INSERT 0 1"},
		{"autocommit before transaction", []string{"UPDATE t SET v = 'a' WHERE id = 1"}, "UPDATE t SET v = 'b' WHERE id = 1", "BEGIN", "done BEGIN"},
		{"error in a transaction", []string{"BEGIN"}, "SELECT x FROM t", "ROLLBACK", "done ROLLBACK"},
	}, true)
}

// Guards against a success without exactly one outcome, with the outcome of
// another statement, or with a transaction status that the statement does not lead
// to.
func TestMalformedResponses(t *testing.T) {
	frame := framer.AppendText
	tag := func(text string) []byte { return frame(nil, 'C', text) }
	ready := func(status byte) []byte { return framer.AppendFrame(nil, 'Z', status) }
	row := framer.AppendFrame(nil, 'D', 0, 1, 0, 0, 0, 1, 'x')
	columns := framer.AppendFrame(nil, 'T', append([]byte("\x00\x01v\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)...)
	copyOut, copyDone := framer.AppendFrame(nil, 'H', 0, 0, 0), framer.AppendFrame(nil, 'c')
	failure := framer.AppendFrame(nil, 'E', []byte("SERROR\x00VERROR\x00C22012\x00Mdivision by zero\x00\x00")...)
	for name, test := range map[string]struct {
		sql      string
		response [][]byte
		own      bool // The response belongs to the statement.
	}{
		"own response":             {"SELECT v FROM t", [][]byte{row, tag("SELECT 1"), ready('I')}, true},
		"own responses":            {"INSERT INTO t VALUES (1); SELECT v FROM t", [][]byte{tag("INSERT 0 1"), row, tag("SELECT 1"), ready('I')}, true},
		"own error":                {"SELECT 1/0", [][]byte{failure, ready('I')}, true},
		"notice":                   {"SELECT v FROM t", [][]byte{row, framer.AppendFrame(nil, 'N', 0), tag("SELECT 1"), ready('I')}, true},
		"own rows twice":           {"SELECT v FROM t; SELECT v FROM t", [][]byte{columns, row, tag("SELECT 1"), columns, row, tag("SELECT 1"), ready('I')}, true},
		"own copy":                 {"COPY t TO STDOUT", [][]byte{copyOut, copyDone, tag("COPY 0"), ready('I')}, true},
		"rows cut off":             {"SELECT v FROM t", [][]byte{columns, row, columns, row, tag("SELECT 1"), ready('I')}, false},
		"description cut off":      {"SELECT v FROM t", [][]byte{columns, columns, row, tag("SELECT 1"), ready('I')}, false},
		"copy cut off":             {"COPY t TO STDOUT", [][]byte{copyOut, copyOut, copyDone, tag("COPY 0"), ready('I')}, false},
		"no outcome":               {"INSERT INTO t VALUES (1)", [][]byte{ready('I')}, false},
		"two outcomes":             {"INSERT INTO t VALUES (1)", [][]byte{tag("INSERT 0 1"), tag("INSERT 0 1"), ready('I')}, false},
		"row after the outcome":    {"SELECT v FROM t", [][]byte{tag("SELECT 1"), row, ready('I')}, false},
		"error after the outcome":  {"INSERT INTO t VALUES (1)", [][]byte{tag("INSERT 0 1"), failure, ready('I')}, false},
		"outcome after the error":  {"INSERT INTO t VALUES (1)", [][]byte{failure, tag("INSERT 0 1"), ready('I')}, false},
		"two errors":               {"INSERT INTO t VALUES (1)", [][]byte{failure, failure, ready('I')}, false},
		"empty query":              {"INSERT INTO t VALUES (1)", [][]byte{framer.AppendFrame(nil, 'I'), ready('I')}, false},
		"tag of another statement": {"INSERT INTO t VALUES (1)", [][]byte{tag("UPDATE 1"), ready('I')}, false},
		"transaction is open":      {"INSERT INTO t VALUES (1)", [][]byte{tag("INSERT 0 1"), ready('T')}, false},
		"transaction is not open":  {"BEGIN", [][]byte{tag("BEGIN"), ready('I')}, false},
		"unknown status":           {"SELECT v FROM t", [][]byte{tag("SELECT 1"), ready('X')}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := startScriptedServer(t, func(sql string) []byte {
				if strings.HasPrefix(sql, "SET") {
					return append(tag("SET"), ready('I')...)
				}
				return bytes.Join(test.response, nil)
			})
			got := query(t, connect(t, serveAcceptor(t, newTestAcceptor(l.Addr().String())), nil), test.sql)
			qt.Check(t, !strings.Contains(got, "ERROR 40003"), qt.Equals, test.own, qt.Commentf("%s", got))
		})
	}
}

// Guards against a large row that is forwarded before it is known to be part of
// the response.
func TestLargeRowOfAnotherStatement(t *testing.T) {
	row := framer.AppendFrame(nil, 'D', append([]byte{0, 1, 0, 0, 0x80, 0}, make([]byte, 0x8000)...)...)
	l := startScriptedServer(t, func(sql string) []byte {
		if strings.HasPrefix(sql, "SET") {
			return framer.AppendFrame(framer.AppendText(nil, 'C', "SET"), 'Z', 'I')
		}
		return framer.AppendFrame(append(framer.AppendText(nil, 'C', "INSERT 0 1"), row...), 'Z', 'I')
	})
	got := query(t, connect(t, serveAcceptor(t, newTestAcceptor(l.Addr().String())), nil), "INSERT INTO t VALUES (1)")
	qt.Check(t, got, qt.Not(qt.Contains), "row")
	qt.Check(t, got, qt.Contains, "ERROR 40003")
}

// Guards against a second CopyInResponse to one statement, after which the client would
// have to send its data again.
func TestCopyInResponseTwice(t *testing.T) {
	l := startScriptedServer(t, func(sql string) []byte {
		if strings.HasPrefix(sql, "SET") {
			return framer.AppendFrame(framer.AppendText(nil, 'C', "SET"), 'Z', 'I')
		}
		return framer.AppendFrame(framer.AppendFrame(nil, 'G', 0, 0, 0), 'G', 0, 0, 0)
	})
	c := connect(t, serveAcceptor(t, newTestAcceptor(l.Addr().String())), nil)
	qt.Assert(t, query(t, c, "COPY t FROM STDIN"), qt.Contains, "copy in")
	sr := &scriptRunner{t: t}
	sr.runClientCommand(c, "ask", "c")
	qt.Check(t, sr.out.String(), qt.Contains, "ERROR 40003")
}

// Guards against a repeated response to the startup parameters that the first
// statement of the session gets, and that ends the session as if a parameter were
// invalid.
func TestRepeatedResponseToStartupParameters(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := startFixture(t, nil)
		for _, s := range f.servers {
			s.SetFaults(backendserver.Faults{RepeatResponses: 1, RepeatLate: late, RepeatSQL: "set_config"})
		}
		c := connect(t, f.address, []string{"shop.note=x"})
		got := query(t, c, "UPDATE t SET v = 'x' WHERE id = 1")
		if late {
			qt.Check(t, got, qt.Contains, "ERROR 40003")
		} else {
			qt.Check(t, got, qt.Contains, "done UPDATE 1")
		}
	}
}
