package acceptor

import (
	"context"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
)

// discardFrame forwards the retained frames except for the last n bytes, which it
// discards.
func (s *session) discardFrame(b *batch, n int) error {
	if err := s.forwardKept(b, n); err != nil {
		return err
	}
	s.lease.conn.Reader.Consume()
	return nil
}

// forwardKept forwards the retained frames except for the last n bytes, which
// stay in the buffer.
func (s *session) forwardKept(b *batch, n int) error {
	r := &s.lease.conn.Reader
	kept := r.Retained()
	if data := kept[:len(kept)-n]; len(data) > 0 {
		if err := s.forwardOrHold(b, data); err != nil {
			return err
		}
	}
	r.ConsumeExceptLast(n)
	return nil
}

// forwardOrHold forwards data to the client, or withholds it while the batch is
// holding its response.
func (s *session) forwardOrHold(b *batch, data []byte) error {
	if !b.holding {
		return s.forwardToClient(b, data)
	}
	if len(b.held)+len(data) > maxHeldBytes && len(b.held) > 0 {
		if err := s.forwardHeld(b); err != nil {
			return err
		}
	}
	b.held = append(b.held, data...)
	return nil
}

// forwardHeld forwards the bytes held so far. Later bytes are still held.
func (s *session) forwardHeld(b *batch) error {
	err := s.forwardToClient(b, b.held)
	b.held = b.held[:0]
	return err
}

// forwardToClient writes part of the response to the client after checking the
// write right.
func (s *session) forwardToClient(b *batch, data []byte) error {
	if err := s.checkRightOnce(b); err != nil {
		return err
	}
	b.forwarded = true
	return s.writeToClient(data)
}

// checkRightOnce verifies, before the first byte of a primary's response is
// forwarded, that this server was still the primary.
func (s *session) checkRightOnce(b *batch) error {
	if b.onPrimary && !b.rightChecked {
		if !s.holdsWriteRight(s.lease.choice.Term) {
			return errNoWriteRight
		}
		b.rightChecked = true
	}
	return nil
}

// completeResponse prepares the end of the response for the client once the
// batch may be acknowledged.
func (s *session) completeResponse(ctx *statementContext, b *batch) error {
	c := s.lease.conn
	ready := c.Status != 0 && !b.lacksSync()
	if ready && !s.awaitingSync && !b.fitsStatus(s.txStatus, c.Status) {
		return errors.Wrapf(errUnexpectedResponse, "transaction status %q after %q", c.Status, s.txStatus)
	}
	s.recordOutcome(b, c.Status, ready)
	// The response to the Execute of a COMMIT acknowledges it before the Sync.
	if b.confirmsWrite && (ready || b.endsTx) {
		if err := s.confirmWrite(ctx, b); err != nil {
			return err
		}
	}
	s.awaitingSync = !ready
	s.skipToSync = b.skipToSync
	s.finishResponse(b, ready)
	return s.checkRightOnce(b)
}

// recordOutcome updates the state of the transaction and the floor. Before the
// Sync it only records what the batch has done.
func (s *session) recordOutcome(b *batch, status byte, ready bool) {
	if b.setsState {
		s.pinned = true
	}
	if s.pinned {
		s.startupSettings = nil
	}
	wrote := b.class == classifier.Write || s.txWrote
	if wrote && b.onPrimary && (ready && status == 'I' || b.endsTx) {
		s.recordWrite(s.lease.choice.Term)
	}
	if !ready {
		s.txWrote, s.txHasRecord = wrote, s.txHasRecord || b.recordRequest
		return
	}
	s.txWrote = status != 'I' && wrote
	s.txHasRecord = status != 'I' && (s.txHasRecord || b.recordRequest)
	s.txStatus = status
}

// confirmWrite checks the write right after the response. If durable
// acknowledgement is required, it first waits until a majority has received the
// write.
func (s *session) confirmWrite(ctx *statementContext, b *batch) error {
	if b.durable && (s.txStatus == 'I' || b.endsTx) && b.errorFrame == nil && !b.errorForwarded {
		if s.acceptor.AwaitMajority == nil {
			return errors.New("durable acknowledgement is not set up")
		}
		wait, cancel := context.WithDeadline(ctx.allowWatch(), ctx.deadline)
		err := s.acceptor.AwaitMajority(wait, s.service, s.lease.choice.Term, s.sampleAfter)
		cancel()
		if err = ctx.stopWatch(err); err != nil {
			return errors.Wrap(err, "not received by a majority in time")
		}
	}
	if !s.holdsWriteRight(s.lease.choice.Term) {
		return errNoWriteRight
	}
	b.rightChecked = true
	return nil
}

// finishResponse appends the rest of the response to b.held. It is written
// after the connection is returned, so that a client that reads slowly does not
// occupy it. Parameters reported by the proxy precede the ReadyForQuery.
func (s *session) finishResponse(b *batch, ready bool) {
	r := &s.lease.conn.Reader
	kept := r.Retained()
	tail := 0
	if ready {
		tail = framer.HeaderSize + 1
	}
	b.held = append(b.held, kept[:len(kept)-tail]...)
	switch {
	case b.refusal != nil:
		b.held = b.refusal.AppendTo(b.held[:0])
	case b.discardRest:
		b.held = append(b.held[:0], b.errorFrame...)
	}
	if ready {
		b.held = s.appendParameterStatus(b.held)
	}
	if ready {
		b.held = framer.AppendFrame(b.held, 'Z', s.txStatus)
	}
	r.Consume()
}

// appendParameterStatus reports the session's position, and the parameters of
// the server that differ from those last reported, to the client.
func (s *session) appendParameterStatus(out []byte) []byte {
	if s.floorKnown && s.reportedPosition != s.floor {
		s.reportedPosition = s.floor
		out = framer.AppendText(out, 'S', settingsPrefix+"position", s.floor.String())
	}
	if now := s.lease.conn.Parameters; s.reportedParameters != now {
		for i, name := range now.Names {
			if old, ok := s.reportedParameters.Lookup(name); !ok || old != now.Values[i] {
				out = framer.AppendText(out, 'S', name, now.Values[i])
			}
		}
		s.reportedParameters = now
	}
	return out
}
