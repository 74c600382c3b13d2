package lender

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ErrNoAnswer reports that a statement was sent but no complete answer arrived,
// so that the statement may have run.
var ErrNoAnswer = errors.New("no answer from the backend server")

// ErrNotSent reports that no part of the statement reached the backend server.
var ErrNotSent = errors.New("statement was not sent")

// ErrNotEncodable is an [ErrNotSent] of a statement or startup that the wire
// protocol cannot carry. It fails in the same way on each backend server.
var ErrNotEncodable = errors.WithMessage(ErrNotSent, "the protocol cannot carry it")

// ErrMalformedAnswer reports an answer that does not follow the wire protocol.
var ErrMalformedAnswer = errors.New("malformed answer")

// Link is an open connection to a backend server, independent of the wire
// protocol. The package that implements the protocol sets the function fields.
type Link struct {
	// Send writes all statements at once. It returns [ErrNotSent] if no byte
	// was sent, [ErrNotEncodable] if that holds for every connection, and any
	// other error if some bytes may have been.
	Send func(deadline time.Time, statements ...requester.Statement) error
	// Receive reads the answer to the oldest unanswered statement. Its error is
	// [ErrMalformedAnswer] if one has arrived that cannot be read.
	Receive func(deadline time.Time) (requester.Result, error)
	// Open reports whether the backend server has neither closed the idle
	// connection nor sent data on it.
	Open func() bool
	// Unread reports whether data has arrived that was not read. Nil means never.
	Unread func() bool
	// Close closes the connection.
	Close func()
}

// Conn is a connection to a backend server. It must not be used concurrently.
type Conn struct {
	Server    cataloger.BackendServer
	Workspace identifier.WorkspaceName

	// LastAnswer is the time of the last complete answer.
	LastAnswer time.Time

	lender   *Lender
	link     Link
	pool     *serverPool
	settings Settings
	prepared map[requester.PreparedStatement]string // Names on this connection.
	// preparedBytes is the memory that the prepared statements take, about as much as on
	// the server.
	preparedBytes int
	lastName      uint64 // Number in the last name that was given to a prepared statement.
	pinned        bool   // Lent to a transaction.
	broken        bool
	failed        bool // An error was received.
	stale         bool // To a retired pool; close on return.
	returned      time.Time

	unnamed   bool // An error or an unsigned success was received.
	checked   bool // Was open and without unread data; nothing was sent since.
	outOfStep bool // An answer or data arrived that belongs to no outstanding statement.

	unanswered []requester.Kind // Of the statements that were sent, the oldest first.
	answers    answerLog
	repeats    int // Number of dropped answers.
	hasBegun   bool
	begunAt    identifier.Position // The newest in the answers to a BEGIN.

	statement *scheduler.Statement // For which the connection is lent; nil if it did not wait.
}

// Run sends one statement and returns its result. An error is [ErrNotSent] or
// [ErrNoAnswer], and the connection is broken afterwards.
func (c *Conn) Run(deadline time.Time, s requester.Statement) (requester.Result, error) {
	if err := c.Send(deadline, s); err != nil {
		return requester.Result{}, err
	}
	return c.Receive(deadline)
}

// Send sends all statements at once. The caller must call [Conn.Receive] once for
// each. It sends nothing if the server has closed the connection, or has sent data on
// it although every statement was answered.
func (c *Conn) Send(deadline time.Time, statements ...requester.Statement) error {
	if len(c.unanswered) == 0 && !c.checked && !c.isOpen() {
		c.broken = true
		return errors.Wrapf(ErrNotSent, "%s: the connection is closed or has unread data", c.Server.ID)
	}
	c.checked = false
	err := c.link.Send(deadline, statements...)
	if err == nil {
		for _, s := range statements {
			c.unanswered = append(c.unanswered, c.kindOf(s))
		}
		return nil
	}
	c.broken = true
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return errors.Wrapf(ErrNoAnswer, "sending to %s: %v", c.Server.ID, err)
}

// maxRepeats is the number of repeated answers to one statement after which the
// connection is broken.
const maxRepeats = 8

// Receive returns the result of the oldest unanswered statement. It drops answers
// that the backend server has sent before. An error is [ErrNoAnswer], and the
// connection is broken afterwards.
func (c *Conn) Receive(deadline time.Time) (requester.Result, error) {
	k := c.nextUnanswered()
	for range maxRepeats {
		r, err := c.link.Receive(deadline)
		if err != nil {
			c.broken = true
			if errors.Is(err, ErrMalformedAnswer) {
				c.outOfStep = true
				c.lender.reportMalformed(c, k, err)
			}
			return r, errors.Wrapf(ErrNoAnswer, "%s: %v", c.Server.ID, err)
		}
		v := c.answers.judge(k, r)
		if c.acceptsAmbiguous(v) {
			v = expected
		}
		switch v {
		case expected:
			c.LastAnswer = time.Now()
			c.recordBegin(k, r)
			c.unnamed = c.unnamed || r.Code != requester.OK || !needsSignature(k)
			if r.Code != requester.OK {
				c.broken = c.broken || c.failed
				c.failed = true
			}
			return r, nil
		case repeated:
			c.repeats++
			c.lender.reportAnswer(c, k, v, r)
		case outOfStep, ambiguous, ambiguousOlder:
			c.lender.reportAnswer(c, k, v, r)
			c.broken, c.outOfStep = true, true
			return requester.Result{}, errors.Wrapf(ErrNoAnswer, "%s: the answer is to another statement than %s", c.Server.ID, k)
		}
	}
	c.broken, c.outOfStep = true, true
	return requester.Result{}, errors.Wrapf(ErrNoAnswer, "%s: %d repeated answers", c.Server.ID, maxRepeats)
}

// acceptsAmbiguous reports whether v is ambiguous and the answer is nevertheless returned,
// because the server is not expected to repeat answers: if none were, a transaction that
// reads changed rows again would never end, and reads of an item that changes often would
// close their connections.
func (c *Conn) acceptsAmbiguous(v verdict) bool {
	return (v == ambiguousOlder || v == ambiguous && c.pinned) && !c.lender.expectsRepeats(c.pool)
}

// kindOf returns the kind of the statement, [requester.Write] for an execution that
// writes.
func (c *Conn) kindOf(s requester.Statement) requester.Kind {
	if s.Kind != requester.Execute {
		return s.Kind
	}
	for shape, name := range c.prepared {
		if name == s.Name && shape.Writes {
			return requester.Write
		}
	}
	return s.Kind
}

// Repeats returns the number of answers on this connection that were dropped as
// repeats. If it grows in a series of statements, an unsigned answer in the series may
// be a repeat too.
func (c *Conn) Repeats() int {
	return c.repeats
}

func (c *Conn) recordBegin(k requester.Kind, r requester.Result) {
	if (k == requester.Begin || k == requester.BeginReadOnly) && r.Code == requester.OK {
		if !c.hasBegun || c.begunAt.Compare(r.Position) < 0 {
			c.begunAt = r.Position
		}
		c.hasBegun = true
	}
}

// BegunAt returns the newest position in the answers to a BEGIN on the connection, or false
// if there was none. An answer with a newer one is no repeat.
func (c *Conn) BegunAt() (identifier.Position, bool) {
	return c.begunAt, c.hasBegun
}

// nextUnanswered removes the oldest unanswered statement and returns its kind.
func (c *Conn) nextUnanswered() requester.Kind {
	if len(c.unanswered) == 0 {
		return requester.Unknown
	}
	k := c.unanswered[0]
	c.unanswered = slices.Delete(c.unanswered, 0, 1)
	return k
}

// isOpen reports whether a statement may be sent on the connection. It reports data
// that was not requested.
func (c *Conn) isOpen() bool {
	c.checked = c.link.Open()
	if c.checked {
		return true
	}
	if c.link.Unread != nil && c.link.Unread() {
		c.outOfStep = true
		c.lender.reportUnrequested(c)
	}
	return false
}

// MarkBroken marks the connection as unusable. It is closed on return.
func (c *Conn) MarkBroken() {
	c.broken = true
}

// BreakOnPanic marks the connection as unusable if it is called by a panic, after
// which an answer may be left on it. It must be deferred directly.
func (c *Conn) BreakOnPanic() {
	if p := recover(); p != nil {
		c.broken = true
		panic(p)
	}
}

// Failed reports whether a statement on the connection was answered with an error.
// Nothing names an error, so that a further one may be a repeat: it is no reason to
// say that a write has not run. After a second error the connection is broken.
func (c *Conn) Failed() bool {
	return c.failed
}

// OutOfStep reports whether the connection is unusable because of an answer or of data
// that belongs to no outstanding statement. The server answers on other connections.
func (c *Conn) OutOfStep() bool {
	return c.outOfStep
}

// Broken reports whether the connection is unusable.
func (c *Conn) Broken() bool {
	return c.broken
}

// Settings are the settings of a session, in the order in which the client first
// set them.
type Settings []Setting

// Setting is the value of one session setting.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// With returns a copy in which the named setting has the value.
func (v Settings) With(name, value string) Settings {
	next := make(Settings, 0, len(v)+1)
	found := false
	for _, e := range v {
		if e.Name == name {
			e.Value = value
			found = true
		}
		next = append(next, e)
	}
	if !found {
		next = append(next, Setting{name, value})
	}
	return next
}

// Equal reports whether both have the same settings, in any order.
func (v Settings) Equal(w Settings) bool {
	if len(v) != len(w) {
		return false
	}
	for _, e := range v {
		if !w.contains(e) {
			return false
		}
	}
	return true
}

func (v Settings) contains(value Setting) bool {
	for _, e := range v {
		if e == value {
			return true
		}
	}
	return false
}

// namesWithin reports whether every name of v is also set in w. If so, a
// connection with the settings v needs no reset to get the settings w.
func (v Settings) namesWithin(w Settings) bool {
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

// ApplySession applies the session's settings to the connection and, if shape is
// not nil, prepares a statement of that shape unless there is one already. It
// returns the name of the prepared statement, which is valid on this connection
// only.
func (c *Conn) ApplySession(deadline time.Time, settings Settings, shape *requester.PreparedStatement) (name string, err error) {
	if c.settings.Equal(settings) && (shape == nil || c.prepared[*shape] != "") {
		return c.preparedName(shape), nil
	}
	var todo []requester.Statement
	if !c.settings.namesWithin(settings) {
		todo = append(todo, requester.Statement{Kind: requester.Discard})
		c.settings, c.prepared, c.preparedBytes = nil, nil, 0
	}
	for _, e := range settings {
		if !c.settings.contains(e) {
			todo = append(todo, requester.Statement{Kind: requester.Set, Name: e.Name, Value: e.Value})
		}
	}
	name = c.preparedName(shape)
	isNew := shape != nil && name == ""
	if isNew {
		name = c.newName()
		todo = append(todo, requester.Statement{Kind: requester.Prepare, Name: name, Shape: *shape})
	}
	if err := c.runAll(deadline, todo); err != nil {
		return "", err
	}
	c.settings = settings
	if isNew {
		if c.prepared == nil {
			c.prepared = map[requester.PreparedStatement]string{}
		}
		c.prepared[*shape] = name
		c.preparedBytes += len(shape.Text) + preparedOverhead
	}
	return name, nil
}

const (
	// maxPreparedBytes is the memory of prepared statements above which a connection is
	// closed once it is returned. The clients that use them may have ended long ago.
	maxPreparedBytes = 256 << 10
	// preparedOverhead is the memory of a prepared statement besides its text.
	preparedOverhead = 128
)

// isSpent reports whether the connection must not be lent again, because what has to be
// remembered of its answers and prepared statements takes too much memory.
func (c *Conn) isSpent() bool {
	return c.answers.isFull() || c.preparedBytes > maxPreparedBytes
}

// preparedName returns the name of the prepared statement of a shape, or "" if the
// shape is nil or no statement of it is prepared.
func (c *Conn) preparedName(shape *requester.PreparedStatement) string {
	if shape == nil {
		return ""
	}
	return c.prepared[*shape]
}

// newName returns a name that no prepared statement has had on this connection. A
// name derived from the shape would have to keep shapes apart that differ only in
// blanks, which a name cannot have.
func (c *Conn) newName() string {
	c.lastName++
	return "p" + strconv.FormatUint(c.lastName, 10)
}

// runAll runs statements that change only the state of the connection. No
// statement of the client has been sent yet, so every error is [ErrNotSent].
func (c *Conn) runAll(deadline time.Time, todo []requester.Statement) error {
	if err := c.Send(deadline, todo...); errors.Is(err, ErrNotEncodable) {
		return err
	} else if err != nil {
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
