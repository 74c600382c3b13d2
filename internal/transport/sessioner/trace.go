package sessioner

import (
	"strconv"
	"strings"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
)

// maxTries is the number of tries of a statement that are told one by one.
const maxTries = 6

// trace is what was tried for a statement, for the log.
type trace struct {
	peer  identifier.InstanceID // To which it was forwarded last.
	floor floor
	count int
	tries [maxTries]try

	// Waits by what was waited for.
	admitted   time.Duration // The rate.
	positioned time.Duration // A position sample.
	connected  time.Duration // Connections, over all tries.
}

// waitPosition counts a wait for a position sample since the time.
func (t *trace) waitPosition(since time.Time) {
	if t != nil {
		t.positioned += time.Since(since)
	}
}

// waitConnection counts a wait for a connection since the time.
func (t *trace) waitConnection(since time.Time) {
	if t != nil {
		t.connected += time.Since(since)
	}
}

// try is one answer of a server, or none.
type try struct {
	server identifier.BackendServerID
	code   requester.Code
	cause  error // Set if there was no answer.
	took   time.Duration
}

func (t *trace) add(server identifier.BackendServerID, r requester.Result, err error, took time.Duration) {
	if t == nil {
		return
	}
	if t.count < maxTries {
		t.tries[t.count] = try{server, r.Code, err, took}
	}
	t.count++
}

// String lists the tries as "server:outcome:milliseconds".
func (t *trace) String() string {
	if t == nil {
		return ""
	}
	var b strings.Builder
	for i := range min(t.count, maxTries) {
		e := t.tries[i]
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(e.server))
		b.WriteByte(':')
		if e.cause != nil {
			b.WriteString("no_answer")
		} else {
			b.WriteString(e.code.String())
		}
		b.WriteByte(':')
		b.WriteString(strconv.FormatInt(e.took.Milliseconds(), 10))
	}
	if t.count > maxTries {
		b.WriteString(",and_more:" + strconv.Itoa(t.count-maxTries))
	}
	return b.String()
}
