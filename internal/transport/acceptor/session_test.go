package acceptor_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/txtar"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

// Guards against any change in what a client or a backend server receives. The
// comment of each file states the failure that it guards against.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			qt.Assert(t, err, qt.IsNil)
			sr := runScript(t, startFixture(t, nil), string(archive.Files[0].Data))
			want := []txtar.File{archive.Files[0], {Name: "client", Data: []byte(sr.out.String())},
				{Name: "backend", Data: []byte(sr.backendLog())}, {Name: "log", Data: []byte(sr.eventLog())}}
			if *update {
				archive.Files = want
				qt.Assert(t, os.WriteFile(file, txtar.Format(archive), 0o600), qt.IsNil)
				return
			}
			for i := 1; i < len(want); i++ {
				qt.Check(t, string(archive.Files[i].Data), qt.Equals, string(want[i].Data), qt.Commentf("section %s", want[i].Name))
			}
		})
	}
}

// scriptRunner runs the script of a golden session file.
type scriptRunner struct {
	t               *testing.T
	fixture         *fixture
	clients         map[string]*testClient
	out             strings.Builder
	lastSetupRecord map[*backendserver.Server]uint64
	drained         chan int
}

func runScript(t *testing.T, f *fixture, script string) *scriptRunner {
	sr := &scriptRunner{t: t, fixture: f, clients: map[string]*testClient{}, lastSetupRecord: map[*backendserver.Server]uint64{}}
	for _, s := range f.servers {
		for _, rec := range s.Records() {
			sr.lastSetupRecord[s] = rec.Sequence
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		fmt.Fprintf(&sr.out, "%s\n", line)
		command, rest, _ := strings.Cut(line, " ")
		if c := sr.clients[command]; c != nil {
			verb, args, _ := strings.Cut(rest, " ")
			sr.runClientCommand(c, verb, args)
		} else {
			sr.runCommand(command, rest)
		}
	}
	for _, c := range sr.clients {
		c.conn.Close()
	}
	f.Close()
	return sr
}

func (sr *scriptRunner) runCommand(command, args string) {
	f := sr.fixture
	f.mu.Lock()
	defer f.mu.Unlock()
	switch command {
	case "connect":
		f.mu.Unlock()
		defer f.mu.Lock()
		name, options, _ := strings.Cut(args, " ")
		sr.clients[name] = connect(sr.t, f.address, strings.Fields(options))
		sr.writeOutput(sr.clients[name].startupResponse)
	case "withdraw":
		doc := document()
		delete(doc.Keys, "k1")
		f.document = doc
	case "right":
		// "right N" means that the first N checks succeed. Two checks precede
		// sending, or one if the session already has a connection; the others
		// follow the response.
		checks, err := strconv.Atoi(args)
		limited := err == nil
		f.holdsRight = func() bool {
			checks--
			return args == "held" || limited && checks >= 0
		}
	case "current":
		f.viewFails = args == "no"
	case "rate":
		f.admitError = nil
		if args == "over" {
			f.admitError = &refuser.RefusalError{Case: refuser.OverRate, RetryAfter: 1500 * time.Millisecond}
		}
	case "floor":
		f.sampleKnown, f.positionLost = args != "unknown", args == "lost"
	case "term":
		f.term++
	case "received":
		f.receivedError = errors.New("no majority")
	case "lose":
		f.servers[0].SetFaults(backendserver.Faults{LoseCommits: 1})
	case "silence":
		f.servers[0].HangOpenConnections()
	case "kill":
		qt.Assert(sr.t, f.servers[0].Kill(true), qt.IsNil)
	case "open":
		f.document.Routes["catalogue"] = configurer.Route{}
	case "drain":
		sr.drained = make(chan int, 1)
		ctx := timeLimit(sr.t)
		if limit, err := time.ParseDuration(args); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, limit)
			sr.t.Cleanup(cancel)
		}
		go func() { sr.drained <- f.Drain(ctx) }()
	case "stop":
		f.mu.Unlock()
		defer f.mu.Lock()
		f.Close()
	case "drained":
		f.mu.Unlock()
		defer f.mu.Lock()
		fmt.Fprintf(&sr.out, "  interrupted %d\n", <-sr.drained)
	case "seen":
		f.mu.Unlock()
		defer f.mu.Lock()
		sr.awaitRecord(args)
	default:
		sr.t.Fatalf("unknown command %q", command)
	}
}

func (sr *scriptRunner) awaitRecord(sql string) {
	ctx := timeLimit(sr.t)
	for !strings.Contains(sr.backendLog(), sql) {
		select {
		case <-ctx.Done():
			sr.t.Fatalf("backend servers have not seen %q", sql)
		case <-time.After(time.Millisecond):
		}
	}
}

func (sr *scriptRunner) runClientCommand(c *testClient, verb, args string) {
	switch verb {
	case "query":
		c.send(&pgproto3.Query{String: args})
		sr.writeOutput(c.read())
	case "send":
		for _, part := range strings.Split(args, "; ") {
			c.send(parseMessage(part))
		}
	case "read":
		sr.writeOutput(c.read())
	case "ask":
		sr.runClientCommand(c, "send", args)
		sr.writeOutput(c.read())
	case "cancel":
		nc := connectTCP(sr.t, sr.fixture.address)
		f := pgproto3.NewFrontend(nc, nc)
		f.Send(&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secret})
		qt.Assert(sr.t, f.Flush(), qt.IsNil)
	case "gone":
		c.conn.Close()
	default:
		sr.t.Fatalf("unknown verb %q", verb)
	}
}

func (sr *scriptRunner) writeOutput(lines []string) {
	for _, l := range lines {
		fmt.Fprintf(&sr.out, "  %s\n", normalise(l))
	}
}

// backendLog lists the statements that the backend servers received.
// Connections are numbered in the order of their first statement.
func (sr *scriptRunner) backendLog() string {
	var b strings.Builder
	for _, s := range sr.fixture.servers {
		numbers := map[uint32]int{}
		for _, rec := range s.Records() {
			if rec.Sequence <= sr.lastSetupRecord[s] {
				continue
			}
			if numbers[rec.Connection] == 0 {
				numbers[rec.Connection] = len(numbers) + 1
			}
			fmt.Fprintf(&b, "%s connection %d [%s] %s", s.ID, numbers[rec.Connection], rec.Workspace, rec.SQL)
			if rec.SQLState != "" {
				b.WriteString(" -> " + rec.SQLState)
			}
			b.WriteString("\n")
		}
	}
	return b.String()
}

// eventLog lists the logged events with the fields relevant to the tests.
func (sr *scriptRunner) eventLog() string {
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(sr.fixture.log.String()), "\n") {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) != nil {
			continue
		}
		fmt.Fprintf(&b, "%v", fields["event"])
		for _, name := range []string{"workspace", "request_id", "state", "reason", "interrupted"} {
			if v, ok := fields[name]; ok && v != "" {
				fmt.Fprintf(&b, " %s=%v", name, v)
			}
		}
		b.WriteString("\n")
	}
	// Events of concurrent goroutines are unordered and the number of retries
	// varies, so the lines are sorted and deduplicated.
	lines := strings.SplitAfter(normalise(b.String()), "\n")
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "")
}

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

func normalise(s string) string { return loopbackAddress.ReplaceAllString(s, "address") }
