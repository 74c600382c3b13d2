package replacer

import (
	"time"

	"github.com/rs/zerolog"
)

// stepTimer measures the duration of each step of one replacement.
type stepTimer struct {
	steps   []step
	started time.Time
}

type step struct {
	name     string
	duration time.Duration
}

// begin ends the current step and, unless the name is empty, begins the next
// one.
func (t *stepTimer) begin(name string) {
	now := time.Now()
	if n := len(t.steps); n > 0 && !t.started.IsZero() {
		t.steps[n-1].duration = now.Sub(t.started)
	}
	t.started = time.Time{}
	if name != "" {
		t.steps = append(t.steps, step{name: name})
		t.started = now
	}
}

// addDurations adds the duration of each step to a log line.
func (t *stepTimer) addDurations(e *zerolog.Event) {
	for _, s := range t.steps {
		e.Int64(s.name+"_ms", s.duration.Milliseconds())
	}
}
