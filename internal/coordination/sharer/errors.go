package sharer

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Errors returned by [Sharer.Admit]. The request was not run.
var (
	ErrOverRate   = errors.New("workspace is over its rate")
	ErrNotCurrent = errors.New("instance is not current")
)

// OverRateError wraps [ErrOverRate] with the time after which this instance
// expects to have the tokens.
type OverRateError struct {
	Workspace  identifier.WorkspaceName
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverRateError) Error() string {
	return fmt.Sprintf("%v: %s: retry after %v", ErrOverRate, e.Workspace, e.RetryAfter)
}

// Unwrap returns [ErrOverRate].
func (e *OverRateError) Unwrap() error {
	return ErrOverRate
}
