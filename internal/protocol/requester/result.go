package requester

import "oleanderpulley/internal/state/identifier"

// TransactionState is the state of a session after a statement.
type TransactionState byte

// States of a session.
const (
	Idle          TransactionState = 'I'
	InTransaction TransactionState = 'T'
	Failed        TransactionState = 'E'
)

// Code says why a statement has no success.
type Code uint8

// Codes of results.
const (
	OK             Code = iota
	Overloaded          // Not run; the client may return later.
	Aborted             // The transaction was rolled back.
	Lagging             // The log lacks the position that was asked for.
	ReadOnly            // The backend server does not lead.
	WrongServer         // The backend server is another one.
	TooMany             // The backend server has no connection left.
	OutcomeUnknown      // The statement may have taken effect.
	TimedOut            // The backend server stopped the statement.
	RunFailed           // The statement ran and failed.
	NoDatabase          // No route has the name.
	NoAccess            // The key is not known.
	Malformed           // The request does not fit the protocol or the state.
	NoStatement         // No prepared statement has the name.
	OtherError          // A code that this release does not know.
)

// NotRun reports whether a backend server that answers with the code has not
// run the statement, so that it may be sent to another one.
func (c Code) NotRun() bool {
	switch c {
	case Overloaded, Lagging, ReadOnly, WrongServer, TooMany, NoStatement:
		return true
	default:
		return false
	}
}

// Result answers one statement.
type Result struct {
	Rows      []string            `cbor:"rows,omitempty"`
	Signature string              `cbor:"signature,omitempty"` // Of the backend server that ran the statement.
	Code      Code                `cbor:"code,omitempty"`
	Text      string              `cbor:"text,omitempty"` // Explains a code other than OK.
	State     TransactionState    `cbor:"state"`
	Position  identifier.Position `cbor:"position"` // Of the backend server's log; zero if not told.

	// Unreached is set if the statement did not run because this instance
	// reached no backend server for it. Another instance may.
	Unreached bool `cbor:"unreached,omitempty"`
}

// Member is what a backend server says of itself in answer to [Status].
type Member struct {
	Leads       bool
	Term        identifier.Term
	Received    identifier.Position
	Busy        int
	Connections int
}

// Startup opens a session.
type Startup struct {
	Database string
	Caller   string // A client's key; a workspace's name towards a backend server.
	Expected identifier.BackendServerID
}

var codeNames = [...]string{
	OK: "ok", Overloaded: "overloaded", Aborted: "aborted", Lagging: "lagging", ReadOnly: "read_only",
	WrongServer: "wrong_server", TooMany: "too_many_connections", OutcomeUnknown: "outcome_unknown",
	TimedOut: "timed_out", RunFailed: "run_failed", NoDatabase: "no_database", NoAccess: "no_access",
	Malformed: "malformed", NoStatement: "no_statement", OtherError: "other_error",
}

// String returns the code's name in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}
