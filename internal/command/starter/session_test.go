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

// Guards against changes of what clients see and of what reaches the servers.
// Each file holds the lines of clients ("1> QUERY ..."), the answers ("1< ..."),
// and events ("do hold b"), then the statements that the servers saw.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			qt.Assert(t, err, qt.IsNil)
			w := newWorld(t)
			s := &script{world: w, instance: w.start("one"), clients: map[string]*lineClient{}}
			session := s.play(string(archive.Files[0].Data))
			got := &txtar.Archive{Comment: archive.Comment, Files: []txtar.File{
				{Name: "session", Data: []byte(session)}, {Name: "servers", Data: []byte(w.ran())},
			}}
			if *update {
				qt.Assert(t, os.WriteFile(file, txtar.Format(got), 0o600), qt.IsNil)
				return
			}
			qt.Assert(t, string(txtar.Format(got)), qt.Equals, string(txtar.Format(archive)))
		})
	}
}

// script plays the lines of a session file.
type script struct {
	world    *world
	instance *instance
	clients  map[string]*lineClient
}

func (s *script) play(lines string) string {
	var b strings.Builder
	for line := range strings.Lines(lines) {
		line = strings.TrimRight(line, "\n")
		if strings.Contains(line, "< ") && !strings.Contains(line, "> ") {
			continue // The answer of the run takes its place.
		}
		b.WriteString(line + "\n")
		if event, found := strings.CutPrefix(line, "do "); found {
			s.do(strings.Fields(event))
			continue
		}
		name, text, found := strings.Cut(line, "> ")
		if !found {
			continue
		}
		for _, answer := range s.client(name).ask(expand(text)) {
			b.WriteString(name + "< " + answer + "\n")
		}
	}
	return b.String()
}

// expand replaces LONG by a text over the largest message.
func expand(text string) string {
	return strings.ReplaceAll(text, "LONG", strings.Repeat("x", 1<<20))
}

func (s *script) client(name string) *lineClient {
	c, ok := s.clients[name]
	if !ok {
		c = dialLine(s.world.t, s.instance.address)
		s.clients[name] = c
	}
	return c
}

func (s *script) do(event []string) {
	w := s.world
	switch event[0] {
	case "hold":
		w.members[event[1]].Hold(true)
	case "release":
		w.members[event[1]].Hold(false)
	case "refuse":
		w.members[event[1]].Refuse(event[2])
	case "serve":
		w.members[event[1]].Refuse("")
	case "lose":
		w.members[event[1]].LoseAnswers(1)
	case "silence":
		w.members[event[1]].Silence(true)
	case "fence":
		w.store.SetFault(func(_, path string) int {
			if path == "/promote" {
				return http.StatusServiceUnavailable
			}
			return 0
		})
	case "promote":
		w.group.Promote(event[1])
	case "leave":
		_ = s.client(event[1]).conn.Close()
		delete(s.clients, event[1])
	case "sleep":
		d, err := time.ParseDuration(event[1])
		qt.Assert(w.t, err, qt.IsNil)
		time.Sleep(d)
	case "drop":
		w.routes = w.routes[1:]
		w.reconfigure()
	case "withdraw":
		w.tenants[0] = tenant("shops", 1000, "key-2")
		w.reconfigure()
	default:
		w.t.Fatalf("event %q is not known", event)
	}
}

// reconfigure writes a configuration and waits until every instance has it.
func (w *world) reconfigure() {
	w.configure()
	for _, i := range w.instances {
		await(w.t, "configuration is in force", func() bool {
			return i.ConfigVersion() == uint64(w.version)
		})
	}
}

// lineClient speaks the line protocol and returns the lines of each answer.
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

var position = regexp.MustCompile(` \d+\.\d+$`)

// ask sends a line and reads until READY or the end of the connection.
func (c *lineClient) ask(line string) []string {
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
		answer = position.ReplaceAllString(answer, " P")
		lines = append(lines, answer)
		if strings.HasPrefix(answer, "READY ") {
			return lines
		}
	}
}

// lockedBuffer collects log lines.
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
