package acceptor_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/backendserver"
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
