package starter_test

import (
	"bufio"
	"bytes"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected parts of the golden sessions")

// Guards against changes in what clients receive and in what reaches the
// servers. The file "session" has messages of clients ("1> QUERY ..."), the
// answers ("1< ...") and events ("do hold b"). The file "servers" has the
// statements that reached the servers.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			qt.Assert(t, err, qt.IsNil)
			p := newTestPlatform(t)
			s := &script{platform: p, instance: p.startInstance("one"), clients: map[string]*lineClient{}}
			session := s.run(string(archive.Files[0].Data))
			got := &txtar.Archive{Comment: archive.Comment, Files: []txtar.File{
				{Name: "session", Data: []byte(session)}, {Name: "servers", Data: []byte(p.executedStatements())},
			}}
			if *update {
				qt.Assert(t, os.WriteFile(file, txtar.Format(got), 0o600), qt.IsNil)
				return
			}
			qt.Assert(t, string(txtar.Format(got)), qt.Equals, string(txtar.Format(archive)), qt.Commentf("log:\n%s", s.instance.logs))
		})
	}
}

// script runs the lines of a session file.
type script struct {
	platform *testPlatform
	instance *testInstance
	clients  map[string]*lineClient
}

func (s *script) run(lines string) string {
	var b strings.Builder
	for line := range strings.Lines(lines) {
		line = strings.TrimRight(line, "\n")
		if strings.Contains(line, "< ") && !strings.Contains(line, "> ") {
			continue // Replaced by the answer of this run.
		}
		b.WriteString(line + "\n")
		if event, found := strings.CutPrefix(line, "do "); found {
			s.runEvent(strings.Fields(event))
			continue
		}
		name, text, found := strings.Cut(line, "> ")
		if !found {
			continue
		}
		for _, answer := range s.client(name).send(expandLong(text)) {
			b.WriteString(name + "< " + answer + "\n")
		}
	}
	return b.String()
}

// expandLong replaces LONG by a text that exceeds the message size limit.
func expandLong(text string) string {
	return strings.ReplaceAll(text, "LONG", strings.Repeat("x", 1<<20))
}

func (s *script) client(name string) *lineClient {
	c, ok := s.clients[name]
	if !ok {
		c = dialLine(s.platform.t, s.instance.address)
		s.clients[name] = c
	}
	return c
}

func (s *script) runEvent(event []string) {
	p := s.platform
	switch event[0] {
	case "hold":
		p.members[event[1]].PauseReplication(true)
	case "release":
		p.members[event[1]].PauseReplication(false)
	case "refuse":
		p.members[event[1]].FailWith(event[2])
	case "serve":
		p.members[event[1]].FailWith("")
	case "lose":
		p.members[event[1]].DropAnswers(1)
	case "silence":
		p.members[event[1]].SetUnresponsive(true)
	case "fence":
		// No replacement can be announced, so that no successor is known either.
		p.store.SetFault(func(_, path string) int {
			if path == "/promote" || strings.HasPrefix(path, "/v1/objects/leases/") {
				return http.StatusServiceUnavailable
			}
			return 0
		})
	case "promote":
		p.group.Promote(event[1])
	case "leave":
		_ = s.client(event[1]).conn.Close()
		delete(s.clients, event[1])
	case "sleep":
		d, err := time.ParseDuration(event[1])
		qt.Assert(p.t, err, qt.IsNil)
		time.Sleep(d)
	case "target": // Sets the target latency of all routes, up to which a statement may wait.
		d, err := time.ParseDuration(event[1])
		qt.Assert(p.t, err, qt.IsNil)
		for _, route := range p.routes {
			route["targetLatencyMs"], route["timeoutMs"] = d.Milliseconds(), d.Milliseconds()
		}
		p.applyConfiguration()
	case "drop":
		p.routes = p.routes[1:]
		p.applyConfiguration()
	case "withdraw":
		p.tenants[0] = tenantSpec("shops", "key-2")
		p.applyConfiguration()
	default:
		p.t.Fatalf("unknown event %q", event)
	}
}

// applyConfiguration writes a configuration and waits until every instance uses
// it.
func (p *testPlatform) applyConfiguration() {
	p.writeConfiguration()
	for _, i := range p.instances {
		waitUntil(p.t, "configuration is applied", func() bool {
			return i.ConfigVersion() == uint64(p.version)
		})
	}
}

// lineClient is a client of the line protocol that returns the lines of each
// answer.
type lineClient struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func dialLine(t testing.TB, address string) *lineClient {
	conn, err := net.Dial("tcp4", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &lineClient{t, conn, bufio.NewReader(conn)}
}

var positionSuffix = regexp.MustCompile(` \d+\.\d+$`)

// signatureSuffix is the part of a signature after the server: the number of the run and
// the id of its statement.
var signatureSuffix = regexp.MustCompile(`^(COMPLETE sig-\w+)\.\d+\.(.*)$`)

// send sends a message and reads until READY or the end of the connection.
// Positions, which differ between runs, are replaced by P. A signature of the statement
// that was sent is cut to its server; any other signature is left as it is.
func (c *lineClient) send(line string) []string {
	c.t.Helper()
	_, err := io.WriteString(c.conn, line+"\r\n")
	if err != nil {
		return []string{"(closed)"}
	}
	qt.Assert(c.t, c.conn.SetReadDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	var lines []string
	for {
		answer, err := c.reader.ReadString('\n')
		if err != nil {
			return append(lines, "(closed)")
		}
		answer = strings.TrimRight(answer, "\r\n")
		answer = positionSuffix.ReplaceAllString(answer, " P")
		if m := signatureSuffix.FindStringSubmatch(answer); m != nil && strings.HasPrefix(line, "QUERY "+m[2]+" ") {
			answer = m[1]
		}
		lines = append(lines, answer)
		if strings.HasPrefix(answer, "READY ") {
			return lines
		}
	}
}

// lockedBuffer collects log lines and is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
