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
	return fmt.Sprintf("%v; retry after %v", r.Cause, r.RetryAfter.Round(time.Millisecond))
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
)

// refuse returns the refusal of a statement.
//
// The times to come back follow the time in which the waiting statements will
// have started. Those of one workspace are as far apart as the workspace's
// statements would start, those of different workspaces are interleaved. The
// delay approaches [maxRetryAfter] in such a way that a later refusal of a
// workspace never gets an earlier time.
func (q *Queue) refuse(s *Statement, cause error, now time.Time) error {
	a := s.flow.account
	interval := q.rates[s.kind()].interval(now)
	if interval == 0 {
		interval = unknownInterval
	}
	others := max(1, len(q.backlog))
	base := now.Add(interval * time.Duration(q.waiting[s.kind()]+1))
	if a.retryAt.Before(base) {
		a.retryAt = base
	}
	// Beyond this bound the delay below hardly grows any more.
	if limit := now.Add(8 * maxRetryAfter); a.retryAt.After(limit) {
		a.retryAt = limit
	}
	a.retryAt = a.retryAt.Add(interval * time.Duration(others))
	phase := interval * time.Duration(q.refusals%uint64(others))
	q.refusals++
	offset := a.retryAt.Add(phase).Sub(now).Seconds() / maxRetryAfter.Seconds()
	delay := time.Duration(float64(maxRetryAfter) * (1 - math.Exp(-offset)))
	return &RefusalError{Cause: cause, RetryAfter: max(delay, time.Millisecond)}
}
