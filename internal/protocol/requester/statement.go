package requester

import "oleanderpulley/internal/state/identifier"

// Kind is the class of a statement.
type Kind uint8

// Kinds of statements. The last four are sent by this system only.
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

// StatementID is the client's identity of one statement. It is empty on the
// statements of this system.
type StatementID string

// Shape is what a prepared statement does, apart from its values.
type Shape struct {
	Writes bool   `cbor:"writes,omitempty"`
	Text   string `cbor:"text"`
}

// Statement is one request of a session.
type Statement struct {
	ID   StatementID `cbor:"id,omitempty"`
	Kind Kind        `cbor:"kind"`

	// Text is the statement as the client wrote it, for the kinds that are
	// sent on unchanged.
	Text string `cbor:"text,omitempty"`

	Name  string `cbor:"name,omitempty"`  // Of a session value or a prepared statement.
	Value string `cbor:"value,omitempty"` // Of a session value, or the arguments of an execution.
	Shape Shape  `cbor:"-"`               // Of a statement to prepare.

	// After asks the backend server to refuse unless its log holds the
	// position. It applies to reads and to both kinds of begin.
	After identifier.Position `cbor:"-"`

	Term identifier.Term `cbor:"-"` // Of StepDown.
}

// IsBegin reports whether the statement opens a transaction.
func (s Statement) IsBegin() bool {
	return s.Kind == Begin || s.Kind == BeginReadOnly
}
