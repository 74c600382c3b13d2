package acceptor_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
)

// testClient is a client that records every message it receives as text.
type testClient struct {
	t         testing.TB
	conn      net.Conn
	frontend  *pgproto3.Frontend
	processID uint32
	secret    []byte
	// startupResponse holds the messages received during startup.
	startupResponse []string
}

func connectTCP(t testing.TB, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// connect starts a session. Options have the form name=value and are startup
// parameters, except for "key", which is the password.
func connect(t testing.TB, address string, options []string) *testClient {
	c := &testClient{t: t, conn: connectTCP(t, address)}
	c.frontend = pgproto3.NewFrontend(c.conn, c.conn)
	parameters := map[string]string{"user": "shop", "database": "rentals"}
	key := ""
	for _, o := range options {
		name, value, _ := strings.Cut(o, "=")
		if name == "key" {
			key = value
			continue
		}
		parameters[name] = value
	}
	if key == "" && parameters["user"] != "" {
		key = "key-" + parameters["user"]
	}
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	if parameters["oleanderpulley.route"] != "catalogue" {
		m, err := c.frontend.Receive()
		qt.Assert(t, err, qt.IsNil)
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			c.startupResponse = []string{formatError(e)}
		}
		c.send(&pgproto3.PasswordMessage{Password: key})
	}
	c.startupResponse = append(c.startupResponse, c.read()...)
	return c
}

func (c *testClient) send(m pgproto3.FrontendMessage) {
	c.frontend.Send(m)
	c.frontend.Flush()
}

// read returns the messages up to the next ReadyForQuery, the start of a COPY,
// or the end of the connection.
func (c *testClient) read() (lines []string) {
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return append(lines, "closed")
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			if strings.HasPrefix(m.Name, "oleanderpulley.") {
				lines = append(lines, m.Name+"="+m.Value)
			}
		case *pgproto3.BackendKeyData:
			c.processID, c.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.DataRow:
			lines = append(lines, fmt.Sprintf("row %q", m.Values))
		case *pgproto3.CommandComplete:
			lines = append(lines, "done "+string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			lines = append(lines, formatError(m))
		case *pgproto3.ReadyForQuery:
			return append(lines, "ready "+string(m.TxStatus))
		case *pgproto3.CopyInResponse:
			return append(lines, "copy in")
		case *pgproto3.CopyData:
			lines = append(lines, fmt.Sprintf("data %q", m.Data))
		default:
			name := strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
			lines = append(lines, name)
		}
	}
}

func formatError(m *pgproto3.ErrorResponse) string {
	return strings.TrimSpace(m.Severity + " " + m.Code + " " + m.Message + " " + m.Detail)
}

// parseMessage parses a message in a test script: "P name sql", "B statement
// values", "D name", "E", "C name", "S", "H", "Q sql", "d text", "c", "f".
func parseMessage(text string) pgproto3.FrontendMessage {
	kind, rest, _ := strings.Cut(text, " ")
	name, after, _ := strings.Cut(rest, " ")
	if name == "-" {
		name = ""
	}
	switch kind {
	case "P":
		return &pgproto3.Parse{Name: name, Query: after}
	case "B":
		b := &pgproto3.Bind{PreparedStatement: name}
		for _, v := range strings.Fields(after) {
			b.Parameters = append(b.Parameters, []byte(v))
		}
		return b
	case "D":
		return &pgproto3.Describe{ObjectType: 'S', Name: name}
	case "E":
		n, _ := strconv.Atoi(name)
		return &pgproto3.Execute{MaxRows: uint32(n)}
	case "C":
		return &pgproto3.Close{ObjectType: 'S', Name: name}
	case "H":
		return &pgproto3.Flush{}
	case "Q":
		return &pgproto3.Query{String: rest}
	case "d":
		return &pgproto3.CopyData{Data: []byte(strings.NewReplacer(`\t`, "\t", `\n`, "\n").Replace(rest))}
	case "c":
		return &pgproto3.CopyDone{}
	case "f":
		return &pgproto3.CopyFail{Message: rest}
	}
	return &pgproto3.Sync{}
}
