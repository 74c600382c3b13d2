package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of a [RefusalError].
var (
	// ErrDeadline reports that the statement could not start before its deadline
	// at the observed rate of service.
	ErrDeadline = errors.New("the statement cannot start before its deadline")
	// ErrExpired reports that the deadline passed while the statement waited.
	ErrExpired = errors.New("the deadline passed while the statement waited")
	// ErrOverShare reports that the workspace uses its part of the queue.
	ErrOverShare = errors.New("the workspace has too many statements waiting")
	// ErrFull reports that the queue is full and that no workspace is further
	// over its share than the one of the statement.
	ErrFull = errors.New("too many statements wait")
)

// RefusalError is the error of a statement that was not started.
type RefusalError struct {
	Cause      error // A sentinel error of this package.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("%v; retry after %dms", r.Cause, r.RetryAfter.Milliseconds())
}

// Unwrap returns the cause.
func (r *RefusalError) Unwrap() error {
	return r.Cause
}

const (
	// maxRetryAfter bounds the time after which a refused client is told to come
	// back: for longer, the rate of service says nothing.
	maxRetryAfter = 3 * time.Second
	// unknownInterval is the assumed interval between two dispatches while none
	// was observed.
	unknownInterval = 5 * time.Millisecond
	// minRetryInterval is the shortest interval between two times to come back,
	// the resolution of the text of a refusal.
	minRetryInterval = time.Millisecond
)

// refuse returns the refusal of a statement.
//
// The times to come back follow the time in which the waiting statements will
// have started. Those of one workspace are as far apart as the workspace's
// statements would start, and the first ones of different workspaces as far as any
// two statements. The delay approaches [maxRetryAfter] in such a way that a later
// refusal of a workspace never gets an earlier time.
func (q *Queue) refuse(s *Statement, cause error, now time.Time) error {
	a := s.flow.account
	interval := q.rates[s.kind()].interval(now)
	if interval == 0 {
		interval = unknownInterval
	}
	interval = max(interval, minRetryInterval)
	base := now.Add(interval * time.Duration(q.waiting[s.kind()]+1))
	limit := now.Add(8 * maxRetryAfter) // Beyond it, the delay hardly grows any more.
	if a.retryAt.Before(base) {
		if q.retryAt.Before(base) {
			q.retryAt = base
		}
		a.retryAt = q.retryAt
		q.retryAt = earlier(q.retryAt.Add(interval), limit)
	} else {
		a.retryAt = a.retryAt.Add(interval * time.Duration(max(1, len(q.backlog))))
	}
	a.retryAt = earlier(a.retryAt, limit)
	offset := a.retryAt.Sub(now).Seconds() / maxRetryAfter.Seconds()
	delay := time.Duration(float64(maxRetryAfter) * (1 - math.Exp(-offset)))
	return &RefusalError{Cause: cause, RetryAfter: delay}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
