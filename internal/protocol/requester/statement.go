package requester

import "oleanderpulley/internal/state/identifier"

// Kind is the type of a statement.
type Kind uint8

// Kinds of statements. Clients do not send the last three; the proxy itself sends
// them to backend servers.
const (
	Unknown Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate

	Discard
	Status
	StepDown
)

var kindNames = [...]string{
	Unknown: "unknown", Begin: "begin", BeginReadOnly: "begin_read", Commit: "commit", Rollback: "rollback", Read: "read",
	Write: "write", Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate", Discard: "discard",
	Status: "status", StepDown: "step_down",
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// StatementID is the identifier that the client gave a statement. It is empty for
// statements of the proxy itself.
type StatementID string

// PreparedStatement is the definition of a prepared statement without its
// arguments.
type PreparedStatement struct {
	Writes bool   `cbor:"1,keyasint,omitempty"`
	Text   string `cbor:"2,keyasint"`
}

// Statement is one request of a session.
type Statement struct {
	ID   StatementID `cbor:"1,keyasint,omitempty"`
	Kind Kind        `cbor:"2,keyasint"`

	// Text is the statement as the client wrote it, for the kinds that are
	// forwarded unchanged.
	Text string `cbor:"3,keyasint,omitempty"`

	Name  string            `cbor:"4,keyasint,omitempty"` // Of a session setting or a prepared statement.
	Value string            `cbor:"5,keyasint,omitempty"` // Of a session setting, or the arguments of an execution.
	Shape PreparedStatement `cbor:"-"`                    // Of the statement to prepare.

	// After makes the backend server refuse the statement unless its log has
	// reached the position. It applies to Read, Begin and BeginReadOnly.
	After identifier.Position `cbor:"-"`

	Term identifier.Term `cbor:"-"` // The term bound of StepDown.
}

// IsBegin reports whether the statement begins a transaction.
func (s Statement) IsBegin() bool {
	return s.Kind == Begin || s.Kind == BeginReadOnly
}
