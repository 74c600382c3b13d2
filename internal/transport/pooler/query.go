package pooler

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/state/identifier"
)

// ErrUnexpectedResponse reports a response that does not belong to the statement
// that was sent. The connection must be closed.
var ErrUnexpectedResponse = errors.New("response does not belong to the statement")

// ServerError is the error with which a server responded to a statement of the proxy.
type ServerError struct {
	State   string // SQLSTATE.
	Message string
}

// Error implements the error interface.
func (e *ServerError) Error() string { return e.State + " " + e.Message }

// Statement is a statement of the proxy. It runs outside of a transaction.
type Statement struct {
	SQL string
	Tag string // Command tag of its response, without a row count.
}

const selectTag = "SELECT"

// resetForWorkspace discards the session state of the connection, unless it is
// new, and sets its workspace.
func (p *Pooler) resetForWorkspace(ctx context.Context, c *Conn, workspace identifier.WorkspaceName) error {
	if p.Reset != nil {
		return p.Reset(ctx, c, workspace)
	}
	set := Statement{WorkspaceSetting(workspace), "SET"}
	if c.newlyOpened {
		return c.Run(ctx, set)
	}
	clear(c.Prepared)
	return c.Run(ctx, Statement{"DISCARD ALL", "DISCARD ALL"}, set)
}

// Run executes statements whose rows, if any, are discarded, and returns the
// first error of the server as a [ServerError]. It sends all of them before it
// reads the responses.
func (c *Conn) Run(ctx context.Context, statements ...Statement) error {
	deadline, ok := ctx.Deadline()
	if limit := time.Now().Add(connectTimeout); !ok || limit.Before(deadline) {
		deadline = limit
	}
	firstError, err := c.runUntil(deadline, statements, func([]byte) {})
	if err != nil {
		return err
	}
	if c.hasUnrequested() {
		return errors.Wrap(ErrUnexpectedResponse, "data after the last response")
	}
	if firstError != nil {
		return firstError
	}
	return errors.Wrap(c.SetDeadline(time.Time{}), "clear deadline")
}

// runUntil sends statements and reads their responses. It returns the first error
// of the server separately from a failure of the connection.
func (c *Conn) runUntil(deadline time.Time, statements []Statement, onRow func(body []byte)) (serverError, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set deadline")
	}
	var out []byte
	for _, st := range statements {
		out = framer.AppendText(out, 'Q', st.SQL)
	}
	if _, err := c.Write(out); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	c.Status = 0
	for _, st := range statements {
		failed, err := c.readResponse(st.Tag, onRow)
		if err != nil {
			return nil, err
		}
		if serverError == nil {
			serverError = failed
		}
	}
	return serverError, nil
}

// readResponse reads the response to a statement up to its ReadyForQuery and
// returns the error of the server, if it is one. It returns
// [ErrUnexpectedResponse] unless the response has exactly one outcome, which names
// the statement by its tag, and rows only if the tag is SELECT.
func (c *Conn) readResponse(tag string, onRow func(body []byte)) (serverError, err error) {
	complete := false
	for {
		kind, frame, err := c.Reader.Next()
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		body := frame[framer.HeaderSize:]
		switch {
		case framer.IsAsynchronous(kind):
		case kind == 'Z' && complete && len(body) == 1 && body[0] == 'I':
			c.Status = body[0]
			c.Reader.Consume()
			return serverError, nil
		case complete:
			return nil, errors.Wrapf(ErrUnexpectedResponse, "type %q after the end of %s", kind, tag)
		case kind == 'E':
			serverError = &ServerError{State: framer.ErrorField(frame, 'C'), Message: framer.ErrorField(frame, 'M')}
			if framer.IsFatal(frame) {
				return nil, serverError
			}
			complete = true
		case kind == 'C' && hasTag(body, tag):
			complete = true
		case kind == 'T' && tag == selectTag:
		case kind == 'D' && tag == selectTag:
			onRow(body)
		default:
			return nil, errors.Wrapf(ErrUnexpectedResponse, "type %q to %s", kind, tag)
		}
		c.Reader.Consume()
	}
}

// hasTag reports whether the body of a CommandComplete has the tag, after which a
// row count may follow if the tag is SELECT.
func hasTag(body []byte, tag string) bool {
	text, _, _ := framer.CutText(body)
	if tag == selectTag {
		text, _, _ = bytes.Cut(text, []byte(" "))
	}
	return string(text) == tag
}
