package backendserver_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"oleanderpulley/internal/fake/backendserver"
)

// Guards against faults that let a response through, take effect on statements
// that they must block, or do not end.
func TestFaults(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	c := connect(t, s, "&application_name=i-1&oleanderpulley.data_centre=centro-a")
	other := connect(t, s, "&application_name=i-2")
	exec(t, c, "CREATE TABLE k (id int8)")
	for i, f := range []backendserver.Faults{
		{Paused: true}, {CutClients: []string{"i-1"}}, {CutDataCentres: []string{"centro-a"}},
	} {
		s.SetFaults(f)
		outcome := make(chan string, 1)
		go func() { outcome <- insertRow(c, i) }()
		if !f.Paused {
			qt.Assert(t, countRows(t, s), qt.Equals, i)
			exec(t, other, "SELECT 1")
		}
		select {
		case got := <-outcome:
			t.Fatalf("fault %d: got response %q while blocked", i, got)
		case <-time.After(20 * time.Millisecond):
		}
		s.SetFaults(backendserver.Faults{})
		qt.Assert(t, <-outcome, qt.Equals, "")
	}
	s.SetFaults(backendserver.Faults{LoseCommits: 1})
	qt.Assert(t, insertRow(c, 10), qt.Equals, "lost")
	qt.Assert(t, countRows(t, s), qt.Equals, 4)
	s.HangOpenConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := other.Exec(ctx, "SELECT 1")
	qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	qt.Assert(t, countRows(t, s), qt.Equals, 4)
}

// Guards against a fault that sends a response once, in part, or to a statement that
// it does not apply to.
func TestRepeatedResponses(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	for _, late := range []bool{false, true} {
		c, err := net.Dial("tcp", s.Address())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		f := pgproto3.NewFrontend(c, c)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "proxy"}})
		qt.Assert(t, f.Flush(), qt.IsNil)
		readResponse(t, f)
		s.SetFaults(backendserver.Faults{RepeatResponses: 2, RepeatLate: late, RepeatSQL: "'a'"})
		for _, step := range []struct{ sql, want string }{
			{"SELECT 'b'", "b SELECT 1"}, {"SELECT 'a'", "a SELECT 1"}, {"SELECT 'c'", "a SELECT 1"},
		} {
			f.Send(&pgproto3.Query{String: step.sql})
			qt.Assert(t, f.Flush(), qt.IsNil)
			qt.Assert(t, readResponse(t, f), qt.Equals, step.want)
		}
		qt.Assert(t, readResponse(t, f), qt.Equals, "c SELECT 1")
		f.Send(&pgproto3.Parse{Query: "SELECT 'a'"})
		f.Send(&pgproto3.Bind{})
		f.Send(&pgproto3.Execute{})
		f.Send(&pgproto3.Sync{})
		f.Send(&pgproto3.Query{String: "SELECT 'd'"})
		qt.Assert(t, f.Flush(), qt.IsNil)
		qt.Assert(t, readResponse(t, f), qt.Equals, "a SELECT 1")
		qt.Assert(t, readResponse(t, f), qt.Equals, "a SELECT 1")
		qt.Assert(t, readResponse(t, f), qt.Equals, "d SELECT 1")
		qt.Assert(t, s.Faults().RepeatResponses, qt.Equals, 0)
	}
}

// readResponse returns the values and the command tag of a response.
func readResponse(t *testing.T, f *pgproto3.Frontend) string {
	t.Helper()
	text := ""
	for {
		m, err := f.Receive()
		qt.Assert(t, err, qt.IsNil)
		switch m := m.(type) {
		case *pgproto3.DataRow:
			text += string(m.Values[0]) + " "
		case *pgproto3.CommandComplete:
			text += string(m.CommandTag)
		case *pgproto3.ReadyForQuery:
			return text
		}
	}
}

// Guards against a control endpoint that behaves differently from the Go
// methods.
func TestControlEndpoint(t *testing.T) {
	s := startGroup(t, 1, nil)[0]
	exec(t, connect(t, s, ""), "SELECT 1")
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		s.ControlHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	for _, step := range []struct {
		method, path, body string
		code               int
		answer             string
	}{
		{"GET", "/control/records", "", 200, `(?s).*"sql":"SELECT 1".*`},
		{"GET", "/control/records?after=1", "", 200, `\[\]\n`},
		{"GET", "/control/logins", "", 200, `(?s).*"user":"proxy".*`},
		{"POST", "/control/faults", `{"down":true}`, 400, `(?s).*unknown field.*`},
		{"POST", "/control/faults", `{"slow_ms":5,"cut_callers":["i-1"]}`, 200, ""},
		{"POST", "/control/load", `{"service_time_ms":1}`, 200, ""},
		{"POST", "/control/silence", "", 200, ""},
		{"POST", "/control/restart", "", 409, `(?s).*is running.*`},
		{"POST", "/control/kill?keep=false", "", 200, ""},
		{"POST", "/control/restart", "", 200, ""},
		{"GET", "/control/status", "", 200, `(?s).*"role":"replica".*`},
	} {
		code, answer := call(step.method, step.path, step.body)
		qt.Assert(t, code, qt.Equals, step.code, qt.Commentf("%s", step.path))
		qt.Assert(t, answer, qt.Matches, step.answer)
	}
	qt.Assert(t, s.Faults(), qt.DeepEquals, backendserver.Faults{SlowMS: 5, CutClients: []string{"i-1"}})
}
