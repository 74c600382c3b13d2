package distributor

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Submission is a change that an operator submits.
type Submission struct {
	Base    identifier.ConfigVersion // The version that the change was made against.
	Attempt string                   // ID of the submission; a repetition carries the same.
	Author  string
	// Content is the submitted text. It distinguishes a repetition from another
	// change with the same attempt.
	Content []byte
	Apply   func(base *configurer.Document) (*configurer.Document, error)
}

// Result describes an accepted change.
type Result struct {
	Version identifier.ConfigVersion
}

// Sentinel errors of submissions.
var (
	ErrInvalidAttemptID = errors.New("attempt id must have 1 to 100 letters, digits, dots, dashes or underscores")
	ErrAttemptIDReused  = errors.New("attempt id was used for another change")
)

// StaleError reports a change against a version that is not the accepted one.
type StaleError struct {
	Base, Accepted identifier.ConfigVersion
}

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the change is against version %d, and version %d is accepted", e.Base, e.Accepted)
}

// RefusedError reports a change that is not in effect and will not be.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *RefusedError) Error() string {
	return "the change is refused: " + e.Reason
}

// UndecidedError reports a change of which it is not yet known whether it was
// accepted. [Distributor.AttemptResult], or a repetition with the same attempt
// id, returns the outcome.
type UndecidedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *UndecidedError) Error() string {
	return "the change is undecided: " + e.Reason
}

// contentDigestLength is the number of digits kept of the digest of a
// submission. It suffices to distinguish the submissions of operators, and is
// no protection against forgery.
const contentDigestLength = 16

var attemptPattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,100}$`)

func (s Submission) validate() error {
	if !attemptPattern.MatchString(s.Attempt) {
		return ErrInvalidAttemptID
	}
	return nil
}

// contentDigest returns the digest by which a repetition is recognised.
func (s Submission) contentDigest() string {
	return hexDigest(s.Content)[:contentDigestLength]
}

// result converts a recorded outcome to the result of Propose.
func (o Outcome) result() (Result, error) {
	if o.Refusal != "" {
		return Result{}, &RefusedError{Reason: o.Refusal, RetryAfter: time.Second}
	}
	return Result{Version: o.Version}, nil
}

// missingMajorityReason returns the reason to refuse a proposal that too few
// instances have prepared.
func missingMajorityReason(dataCentres []identifier.DataCentre) string {
	names := make([]string, len(dataCentres))
	for i, c := range dataCentres {
		names[i] = string(c)
	}
	return "no majority of data centre " + strings.Join(names, ", ") + " was prepared within 8s"
}
