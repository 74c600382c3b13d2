package acceptor

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/transport/pooler"
)

// lease is a backend connection borrowed from the pooler, with the slot to run
// on its server.
type lease struct {
	conn        *pooler.Conn
	choice      Target
	releaseSlot func() // Nil while a pinned connection is idle.
}

func (s *session) acquireSlot(ctx *statementContext, choice Target, view configurer.View) (func(), error) {
	if s.acceptor.AcquireSlot == nil {
		return releaseNothing, nil
	}
	release, err := s.acceptor.AcquireSlot(ctx.allowWatch(), choice.Server, s.workspace, view.Weight(s.workspace))
	if err = ctx.stopWatch(err); err != nil {
		if release != nil {
			release()
		}
		return nil, err
	}
	return release, nil
}

func releaseNothing() {}

// prepareConnection applies the client's startup settings, which pins the
// session to the connection. It also deallocates the prepared statements on the
// connection if there are too many.
func (s *session) prepareConnection(ctx context.Context) error {
	c := s.lease.conn
	if len(c.Prepared) > maxPreparedPerConn {
		if err := c.Run(ctx, pooler.Statement{SQL: "DEALLOCATE ALL", Tag: "DEALLOCATE ALL"}); err != nil {
			return err
		}
		clear(c.Prepared)
	}
	// SET would take the whole value of a list, such as search_path, for one element.
	var calls []string
	for _, p := range s.startupSettings {
		if v, ok := c.Parameters.Lookup(p[0]); !ok || !sameSetting(p[0], v, p[1]) {
			calls = append(calls, "set_config('"+p[0]+"', "+pooler.Literal(p[1])+", false)")
		}
	}
	if len(calls) == 0 {
		return nil
	}
	err := c.Run(ctx, pooler.Statement{SQL: "SELECT " + strings.Join(calls, ", "), Tag: "SELECT"})
	var serverError *pooler.ServerError
	if errors.As(err, &serverError) {
		return asFatal(refuser.New(refuser.InvalidSetting, "startup parameter: "+err.Error()))
	}
	if err != nil {
		return err
	}
	s.pinned, s.startupSettings = true, nil
	return nil
}

// sameSetting reports whether two values of a setting are equal. Case matters unless
// the setting is known to ignore it.
func sameSetting(name, a, b string) bool {
	switch name {
	case "DateStyle", "IntervalStyle", "TimeZone":
		return strings.EqualFold(a, b)
	}
	return a == b
}

// runOnLease sends the batch and forwards its response. The connection is
// returned, unless a transaction or a pin keeps it, before the end of the
// response is written to the client.
func (s *session) runOnLease(ctx *statementContext, b *batch) error {
	b.onPrimary, b.server = s.lease.choice.Primary, s.lease.choice.Server
	err := s.sendBatch(ctx, b)
	if err == nil {
		err = s.relayResponse(ctx, b)
	}
	ctx.stop()
	if b.sent && b.recordRequest && s.settings.requestID == b.settings.requestID {
		s.settings.requestID = ""
	}
	if err != nil {
		s.abandonLease(ctx, b, err)
		return err
	}
	s.returnLease()
	if len(b.held) == 0 {
		return nil
	}
	b.forwarded = true
	return s.writeToClient(b.held)
}

// abandonLease closes the connection after a failure, or returns it if nothing
// was sent. If the client disconnected or the deadline passed, the statement
// that may still be running is cancelled.
func (s *session) abandonLease(ctx *statementContext, b *batch, err error) {
	if !b.sent && s.txStatus == 'I' && !s.pinned && !s.awaitingSync {
		s.returnLease()
		return
	}
	if b.sent && (b.class == classifier.Write || s.txWrote) {
		s.recordWrite(s.lease.choice.Term)
	}
	for i := range b.expected {
		if e := &b.expected[i]; e.kind == 'P' && e.stmt != nil {
			delete(s.lease.conn.Prepared, e.stmt.key)
		}
	}
	var clientErr *clientError
	if b.sent && (errors.As(err, &clientErr) || ctx.Err() != nil) {
		s.cancelAbandoned(s.lease.conn)
	}
	if b.sent && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.acceptor.Pooler.CheckConnections(s.target(s.lease.choice), b.started)
	}
	s.reportOutOfStep(err)
	s.closeLease(err.Error())
	switch {
	case b.endsTx && b.sent:
		s.txStatus, s.txWrote, s.txHasRecord = 'I', false, false
	case s.txStatus != 'I':
		s.abortTransaction(err.Error())
	}
	s.awaitingSync = false
}

// reportOutOfStep tells the pooler if the connection of the lease has received a
// response to another statement.
func (s *session) reportOutOfStep(err error) {
	if errors.Is(err, errUnexpectedResponse) || errors.Is(err, pooler.ErrUnexpectedResponse) {
		s.acceptor.Pooler.ReportOutOfStep(s.lease.conn, err.Error())
	}
}

// cancelAbandoned cancels the statement on its own goroutine, so that the
// response to the client does not wait for the backend server.
func (s *session) cancelAbandoned(c *pooler.Conn) {
	s.acceptor.goroutines.Add(1)
	go func() {
		defer s.acceptor.goroutines.Done()
		err := s.acceptor.Pooler.Cancel(context.Background(), c)
		s.acceptor.Log.Info().Str("event", "abandoned_cancelled").Str("workspace", string(s.workspace)).Err(err).Send()
	}()
}

// attachLease makes l the session's lease and its connection the target of
// cancel requests.
func (s *session) attachLease(l *lease) {
	s.lease = l
	s.mu.Lock()
	s.activeConn, s.activeServer = l.conn, l.choice.Server
	s.mu.Unlock()
}

// returnLease returns the connection and the slot, unless a transaction or a
// pin keeps the connection. A pinned session returns only the slot.
func (s *session) returnLease() {
	if s.txStatus != 'I' || s.awaitingSync {
		return
	}
	l := s.lease
	if s.pinned {
		l.releaseSlot()
		l.releaseSlot = nil
		return
	}
	s.detachLease()
	s.acceptor.Pooler.Release(l.conn, true)
	l.releaseSlot()
}

// closeLease closes the connection of the lease and releases the slot.
func (s *session) closeLease(reason string) {
	l := s.lease
	s.detachLease()
	s.acceptor.Pooler.Release(l.conn, false)
	if l.releaseSlot != nil {
		l.releaseSlot()
	}
	s.acceptor.Log.Info().Str("event", "backend_connection_closed").Str("workspace", string(s.workspace)).
		Str("server", string(l.choice.Server)).Str("reason", reason).Send()
}

func (s *session) detachLease() {
	s.lease = nil
	s.mu.Lock()
	s.activeConn = nil
	s.mu.Unlock()
}
