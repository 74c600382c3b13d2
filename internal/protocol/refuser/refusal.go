package refuser

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
)

// Case is a kind of refusal.
type Case uint8

// The kinds of refusals.
const (
	NotRun              Case = iota // No byte of the statement reached a backend server.
	OverRate                        // Not run: the workspace is over its rate.
	OutcomeUnknown                  // The statement may or may not have run.
	WrongKey                        // The key does not authenticate the client.
	KeyWithdrawn                    // The key was withdrawn; the connection ends.
	Draining                        // Not run: the instance is stopping; the connection ends.
	PositionLost                    // The session's writes were lost with a former primary.
	AlreadyRun                      // The request ID was used before.
	Unsupported                     // The statement or setting is not supported.
	InvalidSetting                  // The value of a setting is invalid.
	TooLarge                        // A message exceeds the size limit; the connection ends.
	Protocol                        // A message violates the protocol; the connection ends.
	InFailedTransaction             // The transaction has failed; only the end of the transaction is accepted.
	UnknownStatement                // The prepared statement does not exist.
	ReadOnly                        // A write on a read-only route.
	IdleTransaction                 // The client left a transaction idle for too long.
	StatementExists                 // A prepared statement with this name exists.
	Evacuated                       // Not run: the data centres of the backend servers are evacuated.
)

var cases = [...]struct {
	sqlState, text string
	fatal          bool
	retryAfter     time.Duration
}{
	NotRun:              {"57P03", "not run", false, 250 * time.Millisecond},
	OverRate:            {"53400", "not run: over the rate of the workspace", false, time.Second},
	OutcomeUnknown:      {"40003", "outcome unknown: the statement may have run", false, 0},
	WrongKey:            {"28P01", "authentication failed", true, 0},
	KeyWithdrawn:        {"28000", "key withdrawn", true, 0},
	Draining:            {"57P01", "not run: instance is stopping, reconnect", true, time.Millisecond},
	PositionLost:        {"72000", "session position no longer reachable", false, 0},
	AlreadyRun:          {"23505", "already run", false, 0},
	Unsupported:         {"0A000", "not run: not supported", false, 0},
	InvalidSetting:      {"22023", "not run: invalid value of a setting", false, 0},
	TooLarge:            {"54000", "not run: message exceeds the size limit", true, 0},
	Protocol:            {"08P01", "not run: protocol violation", true, 0},
	InFailedTransaction: {"25P02", "not run: current transaction is aborted, commands ignored until end of transaction block", false, 0},
	UnknownStatement:    {"26000", "not run: prepared statement does not exist", false, 0},
	ReadOnly:            {"25006", "not run: route is read-only", false, 0},
	IdleTransaction:     {"25P03", "terminating connection due to idle-in-transaction timeout", true, 0},
	StatementExists:     {"42P05", "not run: prepared statement already exists", false, 0},
	Evacuated:           {"57P03", "not run: evacuation", false, time.Second},
}

// RefusalError is an error that is sent to a client.
type RefusalError struct {
	Case       Case
	Reason     string        // Appended to the message of the case.
	RetryAfter time.Duration // 0 stands for the default of the case.
	Closing    bool          // The connection ends even if the case alone does not end it.
}

// New returns a refusal of the given kind with a reason.
func New(c Case, reason string) *RefusalError { return &RefusalError{Case: c, Reason: reason} }

// From returns the refusal in the chain of err. Any other error becomes [NotRun]
// with the text of err as its reason, so From must not be called once a byte of
// the statement may have reached a backend server. An error in the chain with a
// method RetryAfter() time.Duration sets the retry time.
func From(err error) *RefusalError {
	var r *RefusalError
	if errors.As(err, &r) {
		return r
	}
	r = New(NotRun, err.Error())
	var retryable interface{ RetryAfter() time.Duration }
	if errors.As(err, &retryable) {
		r.RetryAfter = retryable.RetryAfter()
	}
	return r
}

// Error returns the message that is sent to the client.
func (r *RefusalError) Error() string {
	if r.Reason == "" {
		return cases[r.Case].text
	}
	return cases[r.Case].text + ": " + r.Reason
}

// SQLState returns the SQLSTATE.
func (r *RefusalError) SQLState() string { return cases[r.Case].sqlState }

// Fatal reports whether the refusal ends the client's connection.
func (r *RefusalError) Fatal() bool { return r.Closing || cases[r.Case].fatal }

// AppendTo appends the refusal as an ErrorResponse message. If the refusal has a
// retry time, the detail field states it, rounded to milliseconds.
func (r *RefusalError) AppendTo(dst []byte) []byte {
	offset := len(dst)
	severity := "ERROR"
	if r.Fatal() {
		severity = "FATAL"
	}
	dst = framer.Begin(dst, 'E')
	dst = appendField(dst, 'S', severity)
	dst = appendField(dst, 'V', severity)
	dst = appendField(dst, 'C', r.SQLState())
	dst = appendField(dst, 'M', r.Error())
	retryAfter := r.RetryAfter
	if retryAfter == 0 {
		retryAfter = cases[r.Case].retryAfter
	}
	if retryAfter > 0 {
		dst = appendField(dst, 'D', "retry-after: "+max(retryAfter, time.Millisecond).Round(time.Millisecond).String())
	}
	return framer.End(append(dst, 0), offset)
}

func appendField(dst []byte, field byte, text string) []byte {
	return append(append(append(dst, field), text...), 0)
}
