package soaker

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

var (
	restartRequests = flag.Int64("restart-requests", 1000, "minimum number of requests around planned restarts")
	restartRounds   = flag.Int("restart-rounds", 2, "minimum number of rounds of planned restarts")
	restartSeed     = flag.Uint64("restart-seed", 1, "seed of the planned restarts")
	restartLogs     = flag.String("restart-logs", "", "existing directory for the logs of the instances; a temporary one if empty")
)

const (
	restartInstances = 4
	restartClients   = 24
	// directEvery is the number of clients of which one opens sessions at instances that are
	// not in rotation as well.
	directEvery = 4
	// closeRace bounds the time until a client that has sent a request to an idle session
	// learns that the instance closed it at that moment.
	closeRace = 200 * time.Millisecond
	// transactionGrace is the time from SIGTERM to the end of open transactions.
	transactionGrace = gracePeriod / 2
	// silenceLimit is the time after which a request counts as unanswered.
	silenceLimit  = 5 * time.Second
	probeInterval = time.Second
	// missedProbes is the number of failed probes that take an instance out of rotation.
	missedProbes = 2
	// restartBound is the time within which an instance is ready after its restart.
	restartBound = 20 * time.Second
)

// Guards against requests that a planned stop loses or runs twice, on open sessions and forwarded to a home that stops as well.
func TestPlannedRestartsLoseNoRequest(t *testing.T) {
	directory := *restartLogs
	if directory == "" {
		directory = t.TempDir()
	}
	s := Soak{Seed: *restartSeed, Program: filepath.Join(t.TempDir(), "oleanderpulley"), Instances: restartInstances}
	output, err := exec.Command("go", "build", "-o", s.Program, "oleanderpulley/cmd/oleanderpulley").CombinedOutput() //nolint:gosec // The path is that of the test.
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	e, err := newEnvironment(s, directory)
	qt.Assert(t, err, qt.IsNil)
	defer e.close()
	plan, err := s.upgradePlan()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.startInstances(plan), qt.IsNil)

	r := &restartRun{environment: e, rotation: make([]atomic.Bool, restartInstances), stops: map[string][]time.Time{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range e.instances {
		r.rotation[i].Store(true)
		running.Go(func() { r.probe(i, stop) })
	}
	for i := range restartClients {
		c := &requestSender{run: r, number: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)))}
		running.Go(func() { c.run.runSessions(c, stop) })
	}
	random := rand.New(rand.NewPCG(s.Seed, restartClients))
	for round := 0; round < *restartRounds || r.sent.Load() < *restartRequests; round++ {
		r.restartSome(t, random)
	}
	close(stop)
	running.Wait()
	r.check(t, directory)
}

// restartRun is a run of planned restarts, with the requests that its clients sent.
type restartRun struct {
	environment *environment
	rotation    []atomic.Bool // Whether the instance gets new sessions.
	sent        atomic.Int64

	mu       sync.Mutex
	requests []sentRequest
	stops    map[string][]time.Time // Of SIGTERM, by instance.
}

// sentRequest is a request that a client sent, and what it received.
type sentRequest struct {
	id, text, instance string
	transaction        string // Id of its BEGIN; "" outside of a transaction.
	// queued means that the session was not idle: the request was sent together with one
	// before it that was answered, or in an open transaction.
	queued      bool
	answered    bool
	code        string
	sent, ended time.Time
}

// probe updates the rotation as the readiness of an instance changes.
func (r *restartRun) probe(i int, stop <-chan struct{}) {
	missed := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
		if missed++; r.environment.instances[i].IsReady() {
			missed = 0
		}
		r.rotation[i].Store(missed < missedProbes)
	}
}

// restartSome stops one instance, or two within a second, and starts them again.
func (r *restartRun) restartSome(t *testing.T, random *rand.Rand) {
	var stopping sync.WaitGroup
	for _, i := range random.Perm(restartInstances)[:1+random.IntN(2)] {
		p, offset := r.environment.instances[i], time.Duration(random.Int64N(int64(time.Second)))
		stopping.Go(func() {
			time.Sleep(offset)
			r.mu.Lock()
			r.stops[p.Name] = append(r.stops[p.Name], time.Now())
			r.mu.Unlock()
			if err := p.Restart(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			for end := time.Now().Add(restartBound); !p.IsReady(); time.Sleep(readyPollInterval) {
				if time.Now().After(end) {
					t.Errorf("instance %s is not ready again", p.Name)
					return
				}
			}
		})
	}
	stopping.Wait()
	time.Sleep(probeInterval) // The instances get new sessions again.
}

// runSessions opens sessions and sends requests until stop is closed.
func (r *restartRun) runSessions(c *requestSender, stop <-chan struct{}) {
	for !isClosed(stop) {
		i := c.random.IntN(restartInstances)
		if !r.rotation[i].Load() && c.number%directEvery > 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		c.instance = r.environment.instances[i]
		conn, err := net.DialTimeout("tcp4", c.instance.Address, time.Second)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue // The process has ended.
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
		c.runSession(stop)
		_ = conn.Close()
	}
}

// requestSender is a client that keeps its sessions until the instance closes them.
type requestSender struct {
	run    *restartRun
	number int // Distinguishes the clients in statement ids.
	random *rand.Rand
	count  int // Number of ids that newID returned.

	instance *stager.Process
	conn     net.Conn
	reader   *bufio.Reader
}

// runSession sends requests until the session has ended or stop is closed.
func (c *requestSender) runSession(stop <-chan struct{}) {
	key, database := []string{"key-shops", "key-fitters"}[c.number%2], routeKinds[c.random.IntN(len(routeKinds))]
	open := c.exchange([]sentRequest{{id: c.newID(), text: "STARTUP " + database + " " + key}})
	for open && !isClosed(stop) {
		switch c.random.IntN(4) {
		case 0, 1:
			open = c.exchange([]sentRequest{c.newRequest()})
		case 2:
			open = c.exchange([]sentRequest{c.newRequest(), c.newRequest(), c.newRequest(), c.newRequest()})
		default:
			open = c.runTransaction()
		}
		open = open && c.pause()
	}
}

func (c *requestSender) newID() string {
	c.count++
	return fmt.Sprintf("r%dn%d", c.number, c.count)
}

func (c *requestSender) newRequest() sentRequest {
	id := c.newID()
	if c.random.IntN(2) == 0 {
		return sentRequest{id: id, text: "READ item"}
	}
	return sentRequest{id: id, text: "WRITE item " + id}
}

// runTransaction sends a transaction at once or statement by statement.
func (c *requestSender) runTransaction() bool {
	begin := c.newID()
	all := []sentRequest{{id: begin, text: "BEGIN", transaction: begin}}
	for _, text := range []string{"WRITE item x", "READ item", "WRITE item y", "COMMIT"} {
		all = append(all, sentRequest{id: c.newID(), text: text, transaction: begin})
	}
	if c.random.IntN(3) == 0 {
		return c.exchange(all)
	}
	for i := range all {
		all[i].queued = i > 0
		if !c.exchange(all[i:i+1]) || all[i].code != "" {
			return false
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
	return true
}

// pause waits for some time, at times for long, and reports whether the session is still
// open.
func (c *requestSender) pause() bool {
	d := 2 * maxPause
	if c.random.IntN(10) == 0 {
		d = time.Second
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.random.Int64N(int64(d)))))
	_, err := c.reader.Peek(1)
	return os.IsTimeout(err)
}

// exchange sends the requests at once, reads their answers and records both. It reports
// whether all were answered.
func (c *requestSender) exchange(requests []sentRequest) bool {
	var b strings.Builder
	for i := range requests {
		r := &requests[i]
		r.instance, r.sent = c.instance.Name, time.Now()
		if !strings.HasPrefix(r.text, "STARTUP") {
			b.WriteString("QUERY " + r.id + " ")
		}
		b.WriteString(r.text + "\r\n")
	}
	_, err := io.WriteString(c.conn, b.String())
	for i := range requests {
		r := &requests[i]
		r.queued = r.queued || i > 0 && requests[i-1].answered
		if err == nil {
			r.code, err = c.readAnswer()
			r.answered = err == nil
		}
		r.ended = time.Now()
	}
	c.run.sent.Add(int64(len(requests)))
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.requests = append(c.run.requests, requests...)
	return err == nil
}

// readAnswer reads an answer to its end and returns its error code.
func (c *requestSender) readAnswer() (code string, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
		return "", err
	}
	for {
		message, err := imitator.ReadMessage(c.reader)
		if err != nil {
			return "", err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return code, nil
		}
	}
}

// check checks that each request was answered, or was not run and had met the close of an
// idle session or the end of its transaction, and the promises about writes.
func (r *restartRun) check(t *testing.T, directory string) {
	runs := map[string]int{}
	for _, run := range r.environment.group.Executions() {
		if run.Code == "" {
			runs[run.ID]++
		}
	}
	codes, repeatedReads, closed, ended := map[string]int{}, 0, 0, 0
	for _, q := range r.requests {
		if runs[q.id] > 1 && q.text == "READ item" && q.transaction == "" {
			repeatedReads++
		} else if runs[q.id] > 1 {
			t.Errorf("request %s %q ran %d times", q.id, q.text, runs[q.id])
		}
		switch {
		case q.answered:
			codes[q.code]++
			if q.code != "" {
				t.Logf("request %s %q to %s at %s was answered with %s after %v, it ran %d times",
					q.id, q.text, q.instance, q.sent.UTC().Format("15:04:05.000"), q.code, q.ended.Sub(q.sent), runs[q.id])
			}
		case runs[q.id] == 0 && !q.queued && q.ended.Sub(q.sent) < closeRace:
			closed++
		case runs[q.id] == 0 && q.transaction != "" && r.sinceStop(q) >= transactionGrace:
			ended++
		default:
			t.Errorf("request %s %q to %s at %s, %v after SIGTERM, has no answer after %v, it ran %d times",
				q.id, q.text, q.instance, q.sent.UTC().Format("15:04:05.000"), r.sinceStop(q), q.ended.Sub(q.sent), runs[q.id])
		}
	}
	h := history{operations: r.operations()}
	for _, broken := range h.checkWrites(r.environment.group.Commits()) {
		t.Error(broken)
	}
	restarts := 0
	for _, all := range r.stops {
		restarts += len(all)
	}
	t.Logf("%d requests, %d restarts, %d logged as forwarded, %d met a close, %d met the end of a transaction, %d reads ran twice, answers by code: %v",
		len(r.requests), restarts, countForwarded(t, directory), closed, ended, repeatedReads, codes)
}

// sinceStop returns the time from the last SIGTERM of the instance to the end of the
// request, or 0 if there was none.
func (r *restartRun) sinceStop(q sentRequest) time.Duration {
	since := time.Duration(0)
	for _, at := range r.stops[q.instance] {
		if at.Before(q.ended) {
			since = q.ended.Sub(at)
		}
	}
	return since
}

// operations returns the single writes and the transactions with writes.
func (r *restartRun) operations() []operation {
	var all []operation
	writes := map[string][]string{}
	for _, q := range r.requests {
		isWrite := strings.HasPrefix(q.text, "WRITE")
		switch {
		case isWrite && q.transaction == "":
			all = append(all, operation{id: q.id, writeIDs: []string{q.id}, outcome: q.outcome(), code: q.code})
		case isWrite:
			writes[q.transaction] = append(writes[q.transaction], q.id)
		case q.text == "COMMIT":
			all = append(all, operation{id: q.id, writeIDs: writes[q.transaction], outcome: q.outcome(), code: q.code})
			delete(writes, q.transaction)
		}
	}
	for begin, ids := range writes {
		all = append(all, operation{id: begin, writeIDs: ids, outcome: refused, code: "nothing, as COMMIT was not sent"})
	}
	return all
}

func (q sentRequest) outcome() outcome {
	switch {
	case q.answered && q.code == "":
		return acknowledged
	case q.answered && isRefusal(q.code):
		return refused
	default:
		return unknown
	}
}

// countForwarded returns the number of log lines about statements that were forwarded; of
// those that were served in time one in 512 is logged.
func countForwarded(t *testing.T, directory string) int {
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	qt.Assert(t, err, qt.IsNil)
	n := 0
	for _, name := range files {
		data, err := os.ReadFile(name)
		qt.Assert(t, err, qt.IsNil)
		n += strings.Count(string(data), " forwarded_to=")
	}
	return n
}
