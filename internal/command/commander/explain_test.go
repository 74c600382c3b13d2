package commander_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/platform/imitator"
)

// entryFixture is an instance that runs as a process, its log, and fakes of the
// platform.
type entryFixture struct {
	t       *testing.T
	store   imitator.Store
	group   imitator.Group
	members map[string]*imitator.Member
	version int
	address string // For clients.
	log     string // File with the output of the instance.
}

func newEntryFixture(t *testing.T) *entryFixture {
	w := &entryFixture{t: t, members: map[string]*imitator.Member{}}
	w.group.Service = "rentals"
	w.store.Promote = func(_, id string) bool {
		defer w.register()
		return w.group.Promote(id)
	}
	storeAddress, err := w.store.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.store.Close)
	t.Cleanup(w.group.Close)
	for _, id := range []string{"a", "b", "c"} {
		w.members[id], err = w.group.Add(id)
		qt.Assert(t, err, qt.IsNil)
	}
	w.register()
	w.configure("key-shops", "key-small")
	w.start(storeAddress)
	return w
}

// register writes the backend servers and their roles to the store.
func (w *entryFixture) register() {
	for id, m := range w.members {
		role := "replica"
		if id == w.group.Primary() {
			role = "primary"
		}
		w.store.Put("servers", id, map[string]any{
			"service": "rentals", "address": m.Address(), "zone": "centro", "slots": 3,
			"state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

// configure writes the next configuration with the keys of a large and a small
// workspace.
func (w *entryFixture) configure(large, small string) {
	w.version++
	tenant := func(name, key string, rate int) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{key}, "ratePerS": rate, "burst": rate}
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []any{map[string]any{
			"host": "ledger", "type": "read_own_writes", "service": "rentals", "timeoutMs": 800,
			"targetLatencyMs": 400, "maxStalenessMs": 1500, "priority": 1,
		}},
		"tenants":  []any{tenant("shops", large, 1000), tenant("desks", small, 1)},
		"services": []any{map[string]any{"name": "rentals", "maxConnections": 40}},
		"limits":   map[string]any{"txIdleMs": 6000},
	})
}

// start runs the instance and waits until it is ready.
func (w *entryFixture) start(storeAddress string) {
	var ports []string
	for range 3 {
		address, err := allocator.FreeAddress()
		qt.Assert(w.t, err, qt.IsNil)
		w.t.Cleanup(func() { allocator.Release(address) })
		ports = append(ports, address)
	}
	_, peerPort, _ := net.SplitHostPort(ports[2])
	directory := w.t.TempDir()
	settings := filepath.Join(directory, "settings.conf")
	text := fmt.Sprintf("nodeName=entry-1\nzone=centro\nip=127.0.0.1\nlisten.front=%s\nlisten.readiness=%s\n"+
		"internalPorts=%s,%s\nplatform.address=%s\ncloud.address=%s\nbounds.graceS=2\nbounds.revokeMs=5000\n",
		ports[0], ports[1], peerPort, peerPort, storeAddress, storeAddress)
	qt.Assert(w.t, os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	config := filepath.Join(directory, "entry.jsonc")
	qt.Assert(w.t, os.WriteFile(config, []byte(`{"metrics_port": 0}`), 0o600), qt.IsNil)
	w.address, w.log = ports[0], filepath.Join(directory, "entry-1.log")
	out, err := os.Create(w.log)
	qt.Assert(w.t, err, qt.IsNil)
	c := exec.Command(filepath.Join(binaryDir, "oleanderpulley"), "entry", "--settings", settings, "--config", config)
	c.Stdout, c.Stderr = out, out
	qt.Assert(w.t, c.Start(), qt.IsNil)
	w.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		_ = out.Close()
	})
	w.await("the instance is ready", func() bool {
		response, err := http.Get("http://" + ports[1] + "/v1/ready")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
}

func (w *entryFixture) await(description string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(waitStep) {
		if condition() {
			return
		}
	}
	log, _ := os.ReadFile(w.log)
	w.t.Fatalf("timed out waiting until %s\n%s", description, log)
}

// session opens a session and returns a function that sends a line and returns
// the error code of the response, or "" for success.
func (w *entryFixture) session(key string) func(line string) string {
	conn, err := net.Dial("tcp4", w.address)
	qt.Assert(w.t, err, qt.IsNil)
	w.t.Cleanup(func() { _ = conn.Close() })
	reader := bufio.NewReader(conn)
	send := func(line string) (code string) {
		_, err := fmt.Fprintf(conn, "%s\r\n", line)
		qt.Assert(w.t, err, qt.IsNil)
		for {
			response, err := reader.ReadString('\n')
			qt.Assert(w.t, err, qt.IsNil)
			words := strings.Fields(response)
			switch words[0] {
			case "ERROR":
				code = words[1]
			case "READY":
				return code
			}
		}
	}
	qt.Assert(w.t, send("STARTUP ledger "+key), qt.Equals, "")
	return send
}

// explain runs the explain command and returns its output lines.
func (w *entryFixture) explain(id string) []string {
	out, err := exec.Command(filepath.Join(binaryDir, "oleanderpulley"), "explain", "--id", id, w.log).CombinedOutput()
	if err != nil {
		return nil // The line is not written yet.
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// awaitExplanation waits until the output of explain has lines that contain the
// texts in this order.
func (w *entryFixture) awaitExplanation(id string, texts ...string) {
	w.t.Helper()
	w.await(fmt.Sprintf("the explanation of %s contains %q", id, texts), func() bool {
		next := 0
		for _, line := range w.explain(id) {
			if next < len(texts) && strings.Contains(line, texts[next]) {
				next++
			}
		}
		return next == len(texts)
	})
}

// Guards against a failed request whose cause cannot be found with the procedure
// in docs/OPERATIONS.md, which uses only the request id and the log.
func TestFailedRequestsAreExplained(t *testing.T) {
	t.Run("over the rate", func(t *testing.T) {
		w := newEntryFixture(t)
		send := w.session("key-small")
		id, code := "", ""
		for i := 0; code == "" && i < 20; i++ {
			id = fmt.Sprint("flood", i)
			code = send("QUERY " + id + " READ x")
		}
		qt.Assert(t, code, qt.Equals, "BUSY")
		w.awaitExplanation(id, `event=statement_refused id=`+id+` database=ledger code=overloaded reason="over the rate`)
	})
	t.Run("unknown outcome through a failover", func(t *testing.T) {
		w := newEntryFixture(t)
		send := w.session("key-shops")
		qt.Assert(t, send("QUERY w1 WRITE x 1"), qt.Equals, "")
		w.members["a"].SetUnresponsive(true)
		qt.Assert(t, send("QUERY w2 WRITE x 2"), qt.Equals, "INDOUBT")
		w.awaitExplanation("w2", "event=statement_failed id=w2 database=ledger code=outcome_unknown",
			"event=primary_lost service=rentals server=a", "event=replacement service=rentals")
		lines := w.explain("w2")
		qt.Assert(t, strings.Join(lines, "\n"), qt.Contains, "tries=a:no_answer:")
	})
	t.Run("stale proof of the configuration", func(t *testing.T) {
		w := newEntryFixture(t)
		send := w.session("key-shops")
		w.store.SetFault(func(string, string) int { return http.StatusServiceUnavailable })
		id, code := "", ""
		w.await("a statement is refused", func() bool {
			id += "s"
			code = send("QUERY " + id + " READ x")
			return code != ""
		})
		qt.Assert(t, code, qt.Equals, "BUSY")
		w.awaitExplanation(id, "event=store_lost", `code=overloaded reason="the proof of the configuration is too old`)
	})
	t.Run("withdrawn key", func(t *testing.T) {
		w := newEntryFixture(t)
		send := w.session("key-shops")
		w.configure("key-new", "key-small")
		id, code := "", ""
		w.await("a statement is refused", func() bool {
			id += "k"
			code = send("QUERY " + id + " READ x")
			return code != ""
		})
		qt.Assert(t, code, qt.Equals, "NOAUTH")
		w.awaitExplanation(id, "event=configuration_read version=2", "code=no_access")
	})
}
