package requester

import "oleanderpulley/internal/state/identifier"

// TransactionState is the transaction state of a session after a statement. The
// values are the letters on the wire.
type TransactionState byte

// Transaction states.
const (
	Idle          TransactionState = 'I'
	InTransaction TransactionState = 'T'
	Failed        TransactionState = 'E'
)

// Code is the outcome of a statement: success or the reason for the lack of it.
type Code uint8

// Result codes.
const (
	OK             Code = iota
	Overloaded          // Not run; the client may retry later.
	Aborted             // The transaction was rolled back.
	Lagging             // The log has not reached the required position.
	ReadOnly            // The backend server does not lead.
	WrongServer         // A backend server other than the expected one answered.
	TooMany             // The backend server accepts no more connections.
	OutcomeUnknown      // The statement may have taken effect.
	TimedOut            // The backend server stopped the statement after its time limit.
	RunFailed           // The statement ran and failed.
	NoDatabase          // No route has the name of the database.
	NoAccess            // The key is unknown.
	Malformed           // The request violates the protocol or the transaction state.
	NoStatement         // No prepared statement has this name.
	OtherError          // A code that this version does not know.
)

// NotRun reports whether a backend server that answers with the code has not run
// the statement, so that the statement may be sent to another server.
func (c Code) NotRun() bool {
	switch c {
	case Overloaded, Lagging, ReadOnly, WrongServer, TooMany, NoStatement:
		return true
	default:
		return false
	}
}

// Result is the answer to one statement.
type Result struct {
	Rows      []string            `cbor:"1,keyasint,omitempty"`
	Signature string              `cbor:"2,keyasint,omitempty"` // Of the backend server that ran the statement.
	Code      Code                `cbor:"3,keyasint,omitempty"`
	Text      string              `cbor:"4,keyasint,omitempty"` // Explanation of a code other than OK; sent to the client.
	State     TransactionState    `cbor:"5,keyasint"`
	Position  identifier.Position `cbor:"6,keyasint"` // Log position of the backend server; zero if not reported.

	// Unreached is set if the statement did not run because this instance
	// could not reach a backend server for it. Another instance may be able
	// to.
	Unreached bool `cbor:"7,keyasint,omitempty"`
}

// ServerStatus is the status that a backend server reports in answer to
// [Status].
type ServerStatus struct {
	Leads       bool
	Term        identifier.Term
	Received    identifier.Position
	Busy        int
	Connections int
}

// Startup is the first message of a connection and opens a session.
type Startup struct {
	Database   string
	Credential string // The key of a client, or the workspace in a connection to a backend server.
	Expected   identifier.BackendServerID
}

var codeNames = [...]string{
	OK: "ok", Overloaded: "overloaded", Aborted: "aborted", Lagging: "lagging", ReadOnly: "read_only",
	WrongServer: "wrong_server", TooMany: "too_many_connections", OutcomeUnknown: "outcome_unknown",
	TimedOut: "timed_out", RunFailed: "run_failed", NoDatabase: "no_database", NoAccess: "no_access",
	Malformed: "malformed", NoStatement: "no_statement", OtherError: "other_error",
}

// String returns the name of the code in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}
