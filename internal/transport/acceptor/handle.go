package acceptor

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
)

// handleBatch runs a batch. A refusal that is not fatal is sent to the client
// and leaves the connection open.
func (s *session) handleBatch(b *batch) error {
	b.started = time.Now()
	if s.skipToSync {
		return s.discardUntilSync(b)
	}
	err := s.processBatch(b)
	m := Measurement{Workspace: s.workspace, Service: s.service, Server: b.server, Class: b.class, Primary: b.onPrimary}
	if err != nil {
		m.State, err = s.respondToError(b, err)
	}
	if s.acceptor.ObserveBatch != nil {
		m.Duration = time.Since(b.started)
		s.acceptor.ObserveBatch(m)
	}
	return err
}

// respondToError sends a refusal to the client and returns its SQLSTATE. It
// returns an error if the connection has to end.
func (s *session) respondToError(b *batch, err error) (state string, fatal error) {
	var r *refuser.RefusalError
	if !errors.As(err, &r) {
		return "", err
	}
	s.acceptor.Log.Info().Str("event", "refused").Str("workspace", string(s.workspace)).
		Str("request_id", string(b.settings.requestID)).Str("state", r.SQLState()).Str("reason", r.Error()).Send()
	if r.Fatal() {
		return r.SQLState(), err
	}
	return r.SQLState(), s.refuseBatch(b, r)
}

// refuseBatch responds to a batch with an error. As with an error of the
// server, the open transaction fails.
func (s *session) refuseBatch(b *batch, r *refuser.RefusalError) error {
	if !b.forwarded {
		s.removeAddedStatements(b)
	}
	if s.txStatus != 'I' && !s.txAborted {
		s.abortTransaction(r.Error())
	}
	if s.awaitingSync && s.lease != nil {
		s.closeLease("refused between Flush and Sync")
	}
	out := r.AppendTo(nil)
	if b.terminator == 'Q' || b.terminator == 'S' {
		return s.writeToClient(framer.AppendFrame(out, 'Z', s.txStatus))
	}
	s.skipToSync = true
	return s.writeToClient(out)
}

// abortTransaction rolls the transaction back by closing its connection. As in
// PostgreSQL, the client must end the failed transaction before other
// statements run.
func (s *session) abortTransaction(reason string) {
	if s.lease != nil {
		s.closeLease(reason)
	}
	s.txStatus, s.txAborted, s.txWrote, s.txHasRecord = 'E', true, false, false
}

// discardUntilSync discards messages up to the next Sync, as a server does
// after an error in the extended protocol.
func (s *session) discardUntilSync(b *batch) error {
	if b.terminator != 'S' {
		return nil
	}
	s.skipToSync = false
	if s.lease == nil || !s.awaitingSync {
		// The proxy itself refused the batch, so no server is waiting for the
		// Sync.
		return s.writeToClient(framer.AppendFrame(nil, 'Z', s.txStatus))
	}
	b.messages = append(b.messages[:0], b.messages[len(b.messages)-1])
	return s.handleBatch(b)
}

// processBatch checks the session's access, then plans and runs the batch.
func (s *session) processBatch(b *batch) error {
	view, err := s.currentView()
	if err != nil {
		return err
	}
	if err := s.planBatch(b); err != nil {
		return err
	}
	if err := s.releaseEvacuated(); err != nil {
		return err
	}
	switch {
	case s.txAborted:
		if err := s.takeAbortCause(b); err != nil {
			return err
		}
		return s.respondAborted(b)
	case b.proxyMessages > 0 && s.awaitingSync:
		return refuser.New(refuser.Unsupported, "a statement of the proxy between Flush and Sync")
	case b.proxyMessages > 0:
		return s.respondProxyStatements(b, view)
	case b.class == classifier.Empty && s.lease == nil:
		return s.respondEmpty(b)
	}
	if err := s.authorize(b, view); err != nil {
		return err
	}
	return s.execute(b, view)
}

// authorize enforces the rules of the route and plans the record of the request
// ID.
func (s *session) authorize(b *batch, view configurer.View) error {
	if err := s.checkRoute(view, b.settings.route); err != nil {
		return err
	}
	route, _ := view.Route(b.settings.route)
	if b.settings.maxAge == 0 {
		b.settings.maxAge = time.Duration(route.MaxAge)
	}
	writes := b.class == classifier.Write
	if (writes || b.setsState) && s.openRoute != "" {
		return refuser.New(refuser.ReadOnly, "")
	}
	if s.txHasRecord && b.usesSavepoint {
		return refuser.New(refuser.Unsupported, "rollback to a savepoint in a transaction with a request id")
	}
	if writes && !s.txHasRecord && b.settings.requestID != "" {
		if err := s.planRequestRecord(b); err != nil {
			return err
		}
	}
	if route.NotRepeatable && writes && !b.recordRequest && !s.txHasRecord {
		return refuser.New(refuser.InvalidSetting, "the route requires oleanderpulley.request_id")
	}
	b.durable = route.Durable || b.recordRequest || s.txHasRecord
	return nil
}

// planRequestRecord arranges for the request ID to be recorded before the batch
// runs.
func (s *session) planRequestRecord(b *batch) error {
	if s.awaitingSync || b.beginsTx || b.endsTx || s.txStatus == 'I' && b.lacksSync() {
		return refuser.New(refuser.Unsupported, "request id for a batch that begins or ends a transaction or lacks a Sync")
	}
	b.recordRequest, b.wrapInTx = true, s.txStatus == 'I'
	return nil
}
