package lender

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ErrNoAnswer reports that a statement was sent and its answer did not arrive
// whole, so that the statement may have run.
var ErrNoAnswer = errors.New("no answer from the backend server")

// ErrNotSent reports that nothing of the statement reached the backend server.
var ErrNotSent = errors.New("statement was not sent")

// Link is an open connection in the form of a protocol. Its function fields
// are set by the package that speaks the protocol.
type Link struct {
	// Send writes the statements in one piece. It returns [ErrNotSent] if no
	// byte left and any other error if some may have.
	Send func(deadline time.Time, statements ...requester.Statement) error
	// Receive reads the answer to the oldest statement without one.
	Receive func(deadline time.Time) (requester.Result, error)
	// Open reports whether the far end has neither closed the idle
	// connection nor sent anything on it.
	Open func() bool
	// Close ends the connection.
	Close func()
}

// Conn is a lent connection. It is used by one task at a time.
type Conn struct {
	Server    cataloger.BackendServer
	Workspace identifier.WorkspaceName

	// LastAnswer is the time of the newest whole answer.
	LastAnswer time.Time

	link     Link
	shelf    *shelf
	values   Values
	prepared map[requester.Shape]string
	pinned   bool // Lent to a transaction.
	broken   bool
	stale    bool // The server's incarnation is over; close on return.
	returned time.Time
}

// Run sends one statement and returns its result. An error is [ErrNotSent] or
// [ErrNoAnswer]; the connection is then unusable.
func (c *Conn) Run(deadline time.Time, s requester.Statement) (requester.Result, error) {
	if err := c.Send(deadline, s); err != nil {
		return requester.Result{}, err
	}
	return c.Receive(deadline)
}

// Send sends statements in one piece, to be followed by one [Conn.Receive]
// each.
func (c *Conn) Send(deadline time.Time, statements ...requester.Statement) error {
	err := c.link.Send(deadline, statements...)
	if err == nil {
		return nil
	}
	c.broken = true
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return errors.Wrapf(ErrNoAnswer, "sending to %s: %v", c.Server.ID, err)
}

// Receive returns the next result.
func (c *Conn) Receive(deadline time.Time) (requester.Result, error) {
	r, err := c.link.Receive(deadline)
	if err != nil {
		c.broken = true
		return r, errors.Wrapf(ErrNoAnswer, "%s: %v", c.Server.ID, err)
	}
	c.LastAnswer = time.Now()
	return r, nil
}

// Break marks the connection as unusable. It is closed when it is returned.
func (c *Conn) Break() {
	c.broken = true
}

// Broken reports whether the connection is unusable.
func (c *Conn) Broken() bool {
	return c.broken
}

// Values are the session values of a session, in the order of their first
// setting.
type Values []Value

// Value is one session value.
type Value struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// With returns the values with one set.
func (v Values) With(name, value string) Values {
	next := make(Values, 0, len(v)+1)
	found := false
	for _, e := range v {
		if e.Name == name {
			e.Value = value
			found = true
		}
		next = append(next, e)
	}
	if !found {
		next = append(next, Value{name, value})
	}
	return next
}

// Equal reports whether both hold the same values.
func (v Values) Equal(w Values) bool {
	if len(v) != len(w) {
		return false
	}
	for _, e := range v {
		if !w.holds(e) {
			return false
		}
	}
	return true
}

func (v Values) holds(value Value) bool {
	for _, e := range v {
		if e == value {
			return true
		}
	}
	return false
}

// within reports whether every name of v is set in w, so that w can be reached
// by setting alone.
func (v Values) within(w Values) bool {
	for _, e := range v {
		found := false
		for _, f := range w {
			found = found || e.Name == f.Name
		}
		if !found {
			return false
		}
	}
	return true
}

// Adapt gives the connection the session's values and, for an execution, a
// prepared statement of the shape. It returns the name that the statement has
// on this connection. Shapes have one name for all sessions, so that names
// chosen by clients cannot collide.
func (c *Conn) Adapt(deadline time.Time, values Values, shape *requester.Shape) (name string, err error) {
	if shape != nil {
		name = shapeName(*shape)
	}
	if c.values.Equal(values) && (shape == nil || c.prepared[*shape] != "") {
		return name, nil
	}
	var todo []requester.Statement
	if !c.values.within(values) {
		todo = append(todo, requester.Statement{Kind: requester.Discard})
		c.values, c.prepared = nil, nil
	}
	for _, e := range values {
		if !c.values.holds(e) {
			todo = append(todo, requester.Statement{Kind: requester.Set, Name: e.Name, Value: e.Value})
		}
	}
	if shape != nil && c.prepared[*shape] == "" {
		todo = append(todo, requester.Statement{Kind: requester.Prepare, Name: name, Shape: *shape})
	}
	if err := c.runAll(deadline, todo); err != nil {
		return "", err
	}
	c.values = values
	if shape != nil {
		if c.prepared == nil {
			c.prepared = map[requester.Shape]string{}
		}
		c.prepared[*shape] = name
	}
	return name, nil
}

// runAll runs statements that only touch the connection's own state. After a
// failure nothing of the client was sent, so the error is [ErrNotSent].
func (c *Conn) runAll(deadline time.Time, todo []requester.Statement) error {
	if err := c.Send(deadline, todo...); err != nil {
		return errors.Wrapf(ErrNotSent, "adapting: %v", err)
	}
	for range todo {
		r, err := c.Receive(deadline)
		if err != nil {
			return errors.Wrapf(ErrNotSent, "adapting: %v", err)
		}
		if r.Code != requester.OK {
			c.broken = true
			return errors.Wrapf(ErrNotSent, "adapting: code %d: %s", r.Code, r.Text)
		}
	}
	return nil
}

func shapeName(s requester.Shape) string {
	kind := "r_"
	if s.Writes {
		kind = "w_"
	}
	return kind + strings.ReplaceAll(s.Text, " ", "_")
}
