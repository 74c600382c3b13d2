package sessioner

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// Sentinel errors of a [Client].
var (
	ErrInterrupted = errors.New("reading was interrupted")
	ErrMalformed   = errors.New("message is not a statement")
)

// startupLimit bounds the wait for the first message and for the first
// configuration. Clients give up after 2 s.
const startupLimit = 1500 * time.Millisecond

// session is one client connection.
type session struct {
	server   *Server
	client   Client
	database string
	key      string

	values    lender.Values
	prepared  map[string]requester.Shape
	written   identifier.Position // Of the newest commit of the session.
	writtenAt time.Time
	tx        *transaction // Nil outside of a transaction.

	// forwarded is true for the session of a peer's client, whose statements
	// the peer has authorized.
	forwarded bool

	leaving atomic.Bool // Close when idle.
	expired atomic.Bool // Close even inside a transaction.
}

// start reads the first message and answers it.
func (n *session) start() bool {
	deadline := time.Now().Add(startupLimit)
	first, err := n.client.Startup(deadline)
	if err != nil {
		return false
	}
	n.database, n.key = first.Database, first.Caller
	n.waitForCatalog(deadline)
	o, refusal := n.authorize()
	if refusal.Code != requester.OK {
		n.refused("session_refused", "", refusal)
		n.client.Refuse(refusal)
		return false
	}
	go n.homes(o, false) // Opens the links to the homes before the first statement.
	return n.client.Reply(requester.Result{State: requester.Idle, Signature: startupMark}) == nil
}

// startupMark marks the reply to a startup, which carries no outcome.
const startupMark = "startup"

// IsStartup reports whether the result answers a startup.
func IsStartup(r requester.Result) bool {
	return r.Signature == startupMark
}

func (n *session) waitForCatalog(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		changed := n.server.Holder.Changed()
		if c := n.server.Holder.Catalog(); c != nil && c.Configuration != nil {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// run serves statements until the session ends.
func (n *session) run() {
	defer n.abandon()
	for {
		st, err := n.client.Next(n.idleDeadline())
		switch {
		case err == nil:
			if n.client.Reply(n.handle(st)) != nil {
				return
			}
		case errors.Is(err, ErrMalformed):
			reply := requester.Result{Code: requester.Malformed, Text: "message is not a statement", State: n.state()}
			if n.client.Reply(reply) != nil {
				return
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			n.expireTransaction()
		case errors.Is(err, ErrInterrupted):
			if n.endsNow() {
				return
			}
		default:
			return
		}
		if n.leaving.Load() && n.endsNow() {
			return
		}
	}
}

// endsNow reports whether a session that is to leave can be closed without
// cutting a request.
func (n *session) endsNow() bool {
	if n.expired.Load() {
		return true
	}
	return n.leaving.Load() && n.tx == nil && !n.client.Pending()
}

// idleDeadline is when an idle transaction is ended; zero outside of one.
func (n *session) idleDeadline() time.Time {
	if n.tx == nil || n.tx.conn == nil {
		return time.Time{}
	}
	limit := n.server.Holder.Catalog().Configuration.IdleTxLimit
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// state is the transaction state that replies show.
func (n *session) state() requester.TransactionState {
	switch {
	case n.tx == nil:
		return requester.Idle
	case n.tx.failed:
		return requester.Failed
	default:
		return requester.InTransaction
	}
}

// handle serves one statement.
func (n *session) handle(st requester.Statement) requester.Result {
	if n.tx != nil && n.tx.failed && st.Kind != requester.Commit && st.Kind != requester.Rollback {
		return n.refuseFailed()
	}
	switch st.Kind {
	case requester.Set:
		n.values = n.values.With(st.Name, st.Value)
		return n.done()
	case requester.Prepare:
		n.prepare(st)
		return n.done()
	case requester.Deallocate:
		if _, ok := n.prepared[st.Name]; !ok {
			return n.refusal(requester.NoStatement, "no prepared statement has this name")
		}
		delete(n.prepared, st.Name)
		return n.done()
	case requester.Begin, requester.BeginReadOnly:
		return n.begin(st)
	case requester.Commit, requester.Rollback:
		return n.end(st)
	case requester.Read, requester.Write, requester.Execute:
		return n.execute(st)
	default:
		return n.refusal(requester.Malformed, "the statement is not known")
	}
}

func (n *session) done() requester.Result {
	return requester.Result{State: n.state()}
}

func (n *session) prepare(st requester.Statement) {
	if n.prepared == nil {
		n.prepared = map[string]requester.Shape{}
	}
	n.prepared[st.Name] = st.Shape
}

// work is a statement with what it needs of a connection.
type work struct {
	statement requester.Statement
	shape     *requester.Shape // Of an execution.
	writes    bool
}

// execute serves a read, a write or an execution.
func (n *session) execute(st requester.Statement) requester.Result {
	w := work{statement: st, writes: st.Kind == requester.Write}
	if st.Kind == requester.Execute {
		shape, ok := n.prepared[st.Name]
		if !ok {
			return n.refusal(requester.NoStatement, "no prepared statement has this name")
		}
		w.shape, w.writes = &shape, shape.Writes
	}
	if n.tx != nil {
		return n.executeInTransaction(w)
	}
	o, refusal := n.admit()
	if refusal.Code != requester.OK {
		n.refused("statement_refused", st.ID, refusal)
		return refusal
	}
	started := time.Now()
	r := n.place(o, w)
	r.State = requester.Idle
	n.finished(st.ID, o, r, time.Since(started))
	return r
}

// place runs a single statement at a home of its workspace, or here.
func (n *session) place(o operation, w work) requester.Result {
	if r, ok := n.forward(o, w); ok {
		return r
	}
	return n.runHere(o, w)
}

func (n *session) runHere(o operation, w work) requester.Result {
	n.need(o)
	switch {
	case w.writes:
		return n.write(o, w)
	case o.route.Consistency == cataloger.PrimaryOnly:
		return n.readPrimary(o, w)
	default:
		return n.readReplica(o, w)
	}
}

// abandon ends what the session left open.
func (n *session) abandon() {
	if n.tx != nil {
		n.tx.drop(n)
		n.tx = nil
	}
}
