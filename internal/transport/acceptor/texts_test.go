package acceptor_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
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
