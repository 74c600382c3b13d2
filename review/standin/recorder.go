package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	acked   []ack
	runs    map[string]string // Shape that ran, by the id of the statement.
	lost    []string          // Violations of LOST.
	stale   map[string]string // Server that committed a write after another one led, by the id of the write.
	twoLed  int               // Acknowledged writes among them: violations of ONE.
}

// ack is a write whose success the client was told.
type ack struct {
	id, item, data string
	at             time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path) //nolint:gosec // The caller chooses the path.
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now(), runs: map[string]string{}, stale: map[string]string{}}, nil
}

// event writes one line with the time since the start.
func (r *recorder) event(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, arguments...)
}

// line is event without the lock.
func (r *recorder) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// acknowledged records a write whose success the client was told.
func (r *recorder) acknowledged(id, item, data, signature string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ack{id, item, data, time.Now()})
	r.line("client: write %s %s=%s acknowledged, signature %s", id, item, data, signature)
	if server, ok := r.stale[id]; ok {
		r.twoLed++
		r.line("ONE: write %s was committed at %s after the promotion of another server had taken effect", id, server)
	}
}

// committed records the writes of a commit, and whether another server had been
// promoted before.
func (r *recorder) committed(m *member, position string, writes []write, replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range writes {
		r.line("server %s: commits write %s at %s", m.id, w.id, position)
		if replaced {
			r.stale[w.id] = m.id
		}
	}
}

// executed records which shape a server ran for an EXECUTE.
func (r *recorder) executed(m *member, id, word, shape string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = word + " " + shape
	r.line("server %s: EXECUTE %s runs the shape [%s %s]", m.id, id, word, shape)
}

// promoted records a promotion and checks that the promoted log holds every
// acknowledged write.
func (r *recorder) promoted(m *member, term int, log []entry) {
	held := map[string]bool{}
	for _, e := range log {
		for _, w := range e.writes {
			held[w.id] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("server %s leads term %d; its log ends at %d.%d", m.id, term, log[len(log)-1].term, len(log))
	discarded := 0
	for _, a := range r.acked {
		if held[a.id] {
			continue
		}
		if m.group.sync == 0 {
			discarded++ // The rule LOST doesn't hold for this service.
			continue
		}
		text := fmt.Sprintf("LOST: write %s %s=%s was acknowledged %.0f ms before and is not in the log of %s",
			a.id, a.item, a.data, float64(time.Since(a.at).Milliseconds()), m.id)
		r.lost = append(r.lost, text)
		r.line("%s", text)
	}
	if discarded > 0 {
		r.line("%d acknowledged writes are not in the log of %s", discarded, m.id)
	}
}
