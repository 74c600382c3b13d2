package dispatcher

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of [Dispatcher.Acquire]. A statement that fails with one of
// them was not sent to the backend server.
var (
	ErrQueueFull = errors.New("workspace has too many statements waiting")
	ErrDeadline  = errors.New("expected wait passes the deadline")
)

// Reason labels a refusal in metrics.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonDeadline  Reason = "deadline"
	ReasonCancelled Reason = "cancelled"
)

// RefusalError wraps a sentinel error together with the expected wait, after
// which a retry may succeed.
type RefusalError struct {
	Err        error
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%v: retry after %v", e.Err, e.RetryAfter)
}

// Unwrap returns the sentinel error.
func (e *RefusalError) Unwrap() error {
	return e.Err
}
