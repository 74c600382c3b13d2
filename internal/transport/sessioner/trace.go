package sessioner

import (
	"strconv"
	"strings"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
)

// maxTracedAttempts is the number of attempts of a statement that are listed one
// by one. Further attempts are only counted.
const maxTracedAttempts = 6

// trace records the attempts and waits of a statement for log and metrics.
type trace struct {
	peer     identifier.InstanceID // To which the statement was forwarded last.
	floor    floor
	count    int
	attempts [maxTracedAttempts]attempt

	// Waits by cause.
	rateWait       time.Duration // For the rate limit.
	positionWait   time.Duration // For a position sample.
	connectionWait time.Duration // For connections, over all attempts.
}

// addPositionWait adds a wait for a position sample that began at since.
func (t *trace) addPositionWait(since time.Time) {
	if t != nil {
		t.positionWait += time.Since(since)
	}
}

// addConnectionWait adds a wait for a connection that began at since.
func (t *trace) addConnectionWait(since time.Time) {
	if t != nil {
		t.connectionWait += time.Since(since)
	}
}

// attempt is the answer of a backend server to one attempt, or the error if there
// was no answer.
type attempt struct {
	server identifier.BackendServerID
	code   requester.Code
	err    error // Nil if there was an answer.
	took   time.Duration
}

// addAttempt adds the outcome of an attempt.
func (t *trace) addAttempt(server identifier.BackendServerID, r requester.Result, err error, took time.Duration) {
	if t == nil {
		return
	}
	if t.count < maxTracedAttempts {
		t.attempts[t.count] = attempt{server, r.Code, err, took}
	}
	t.count++
}

// String lists the attempts as "server:outcome:milliseconds", separated by
// commas.
func (t *trace) String() string {
	if t == nil {
		return ""
	}
	var b strings.Builder
	for i := range min(t.count, maxTracedAttempts) {
		e := t.attempts[i]
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(e.server))
		b.WriteByte(':')
		if e.err != nil {
			b.WriteString("no_answer")
		} else {
			b.WriteString(e.code.String())
		}
		b.WriteByte(':')
		b.WriteString(strconv.FormatInt(e.took.Milliseconds(), 10))
	}
	if t.count > maxTracedAttempts {
		b.WriteString(",and_more:" + strconv.Itoa(t.count-maxTracedAttempts))
	}
	return b.String()
}
