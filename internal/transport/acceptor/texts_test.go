package acceptor_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"oleanderpulley/internal/fake/backendserver"
)

// oddTexts returns texts with bytes that a layer could trim, split or re-encode.
func oddTexts() []string {
	texts := []string{
		"a\r", "a\r\r\n", "\na", "a\nb", " a ", "\ta\t", "\v\fa", "a;b;", "it's", `"a"`, `a\`, `\'b`, `a\\r`, "a -- b", "/* a */",
		"$$a$$", "a\u0085", "\u00a0a\u00a0", "\u2003", "\ufeffa", "a\xff", "\x80\xfe", "A\u212a", "default", "$1", "a,b", `a" , "B`,
	}
	random := rand.New(rand.NewPCG(60, 1))
	for range 40 {
		b := make([]byte, 1+random.IntN(12))
		for i := range b {
			b[i] = byte(1 + random.IntN(255))
		}
		texts = append(texts, string(b))
	}
	return texts
}

// quoted returns the text as a string constant that takes backslashes as they are.
func quoted(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// lastRow returns the values of the last row of a response.
func lastRow(t *testing.T, c *testClient) (value string) {
	t.Helper()
	for {
		m, err := c.frontend.Receive()
		qt.Assert(t, err, qt.IsNil)
		switch m := m.(type) {
		case *pgproto3.DataRow:
			value = string(m.Values[0])
		case *pgproto3.ErrorResponse:
			t.Errorf("%s", formatError(m))
		case *pgproto3.ReadyForQuery:
			return value
		}
	}
}

// Guards against a layer that trims, splits or re-encodes bytes of a statement, a
// parameter, a row, copy data or a setting that the proxy only carries.
func TestTextsArriveUnchanged(t *testing.T) {
	f := startFixture(t, nil)
	f.execOnPrimary(t, "CREATE TABLE x (id text PRIMARY KEY, v text)")
	for _, text := range oddTexts() {
		t.Run(strings.ToValidUTF8(text, "?"), func(t *testing.T) {
			c := connect(t, f.address, nil)
			sql := "INSERT INTO x VALUES (" + quoted(text) + ", '1')" + " \r\n\t\u0085"[:3+len(text)%2]
			c.send(&pgproto3.Query{String: sql})
			lastRow(t, c)
			records := f.servers[0].Records()
			qt.Check(t, records[len(records)-1].SQL, qt.Equals, sql)
			for _, name := range []string{text, ""} {
				c.send(&pgproto3.Parse{Name: name, Query: "SELECT id FROM x WHERE id = $1"})
				c.send(&pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte(text)}})
				c.send(&pgproto3.Execute{})
				c.send(&pgproto3.Sync{})
				qt.Check(t, lastRow(t, c), qt.Equals, text)
			}
			c.send(&pgproto3.Query{String: "SET shop.note = " + quoted(text)})
			lastRow(t, c)
			c.send(&pgproto3.Query{String: "SHOW shop.note"})
			qt.Check(t, lastRow(t, c), qt.Equals, text)
		})
	}
}

// Guards against a startup parameter or a request ID that reaches the backend server
// with another value.
func TestSettingsArriveUnchanged(t *testing.T) {
	f := startFixture(t, nil)
	for _, text := range oddTexts() {
		t.Run(strings.ToValidUTF8(text, "?"), func(t *testing.T) {
			for _, name := range []string{"shop.note", "search_path"} {
				c := connect(t, f.address, []string{name + "=" + text})
				c.send(&pgproto3.Query{String: "SHOW " + name})
				qt.Check(t, lastRow(t, c), qt.Equals, text)
			}
			c := connect(t, f.address, nil)
			c.send(&pgproto3.Query{String: "SET oleanderpulley.request_id = " + quoted(text)})
			lastRow(t, c)
			c.send(&pgproto3.Query{String: "SHOW oleanderpulley.request_id"})
			qt.Check(t, lastRow(t, c), qt.Equals, text)
			c.send(&pgproto3.Query{String: "UPDATE t SET v = 'x' WHERE id = 1"})
			lastRow(t, c)
			c.send(&pgproto3.Query{String: "SELECT request_id FROM oleanderpulley_requests WHERE request_id = " + quoted(text)})
			qt.Check(t, lastRow(t, c), qt.Equals, text)
		})
	}
}

// Guards against a startup parameter that is taken for the default of the server
// because it differs in case alone, which matters in quoted names.
func TestStartupParameterThatDiffersInCase(t *testing.T) {
	f := startFixture(t, nil)
	for _, text := range []string{`"$USER", public`, `"$user", public`} {
		query(t, connect(t, f.address, nil), "SELECT 1") // The server has reported its default.
		c := connect(t, f.address, []string{"search_path=" + text})
		c.send(&pgproto3.Query{String: "SHOW search_path"})
		qt.Check(t, lastRow(t, c), qt.Equals, text)
	}
	c := connect(t, f.address, []string{"TimeZone=utc"})
	query(t, c, "SELECT 1")
	for _, s := range f.servers {
		for _, r := range s.Records() {
			qt.Check(t, r.SQL, qt.Not(qt.Contains), "'TimeZone'") // The session is not pinned needlessly.
		}
	}
}

// Guards against a value that is refused by the classifier and still set, and against
// DEALLOCATE of one statement that drops all.
func TestProxyStatementValues(t *testing.T) {
	c := connect(t, startFixture(t, nil).address, nil)
	qt.Check(t, query(t, c, `SET oleanderpulley.request_id = E'a\'b' -- comment`), qt.Contains, "done SET")
	qt.Check(t, query(t, c, "SET oleanderpulley.request_id = 'a' 'b'"), qt.Contains, "ERROR 22023")
	qt.Check(t, query(t, c, "SHOW oleanderpulley.request_id"), qt.Contains, `["a'b"]`)
	sr := &scriptRunner{t: t}
	sr.runClientCommand(c, "ask", "P all SELECT 1; P other SELECT 2; S")
	qt.Check(t, query(t, c, `DEALLOCATE "all"`), qt.Contains, "done DEALLOCATE")
	sr.out.Reset()
	sr.runClientCommand(c, "ask", "B other; E; S")
	qt.Check(t, sr.out.String(), qt.Contains, `row ["2"]`)
}

// Guards against a session that goes on without its startup parameters after its first
// statement has lost the connection.
func TestStartupParametersAfterLostConnection(t *testing.T) {
	f := startFixture(t, nil)
	c := connect(t, f.address, []string{"shop.note=x"})
	f.servers[0].SetFaults(backendserver.Faults{LoseCommits: 1})
	qt.Assert(t, query(t, c, "UPDATE t SET v = 'x' WHERE id = 1"), qt.Contains, "ERROR 40003")
	f.servers[0].SetFaults(backendserver.Faults{})
	for range 2 {
		qt.Check(t, query(t, c, "SHOW shop.note"), qt.Contains, `row ["x"]`)
	}
}

// Guards against bytes of rows and copy data that change where they are forwarded in
// parts, or where a message ends within a buffer.
func TestLargeTextsArriveUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(60, 2))
	randomBytes := func(size int) []byte {
		b := make([]byte, size)
		for i := range b {
			b[i] = byte(1 + random.IntN(255))
		}
		return b
	}
	f := startFixture(t, nil)
	c := connect(t, f.address, nil)
	for i, size := range []int{1 << 10, 16<<10 - 7, 16 << 10, 16<<10 + 1, 200 << 10} {
		text := randomBytes(size)
		c.send(&pgproto3.Parse{Query: "INSERT INTO t VALUES ($1, $2)"})
		c.send(&pgproto3.Bind{Parameters: [][]byte{[]byte(strconv.Itoa(10 + i)), text}})
		c.send(&pgproto3.Execute{})
		c.send(&pgproto3.Sync{})
		lastRow(t, c)
		c.send(&pgproto3.Query{String: "SELECT v FROM t WHERE id = " + strconv.Itoa(10+i)})
		qt.Check(t, lastRow(t, c) == string(text), qt.IsTrue, qt.Commentf("%d bytes", size))
	}
	copied := make(chan string, 20)
	c = connect(t, serveAcceptor(t, newTestAcceptor(copyServer(t, copied))), nil)
	sr := &scriptRunner{t: t}
	sr.runClientCommand(c, "ask", "P - COPY t FROM STDIN; B -; E; S")
	for _, size := range []int{1, 4 << 10, 40 << 10, 200 << 10} {
		data := append(randomBytes(size), "\x00\r\n\\.\n"...)
		c.send(&pgproto3.CopyData{Data: data})
		qt.Check(t, <-copied == string(data), qt.IsTrue, qt.Commentf("%d bytes", size))
	}
	sr.runClientCommand(c, "ask", "c; S")
}

// Guards against a startup parameter that is dropped although it changes rows, and
// against a session that is pinned by one that does not.
func TestExtraFloatDigits(t *testing.T) {
	f := startFixture(t, nil)
	for _, digits := range []string{"0", "-15"} {
		c := connect(t, f.address, []string{"extra_float_digits=" + digits})
		qt.Check(t, query(t, c, "SHOW extra_float_digits"), qt.Contains, `row ["`+digits+`"]`)
	}
	logged := len(f.servers[0].Records())
	query(t, connect(t, f.address, []string{"extra_float_digits=3"}), "UPDATE t SET v = 'x' WHERE id = 1")
	for _, r := range f.servers[0].Records()[logged:] {
		qt.Check(t, r.SQL, qt.Not(qt.Contains), "extra_float_digits")
	}
}
