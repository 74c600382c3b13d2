package acceptor

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
)

// noticeReadTimeout limits the read of an asynchronous message whose first byte
// has arrived.
const noticeReadTimeout = time.Second

func noop() {}

// mayReceiveNotices reports whether the server may send messages while the
// session is idle: a notification after LISTEN, a notice, a changed parameter,
// or the end of the connection.
func (s *session) mayReceiveNotices() bool {
	return s.pinned && s.lease != nil && s.txStatus == 'I' && !s.awaitingSync
}

// watchNotices wakes the idle session when its backend connection becomes
// readable. The returned function stops the watch.
func (s *session) watchNotices() (stop func()) {
	if !s.mayReceiveNotices() {
		return noop
	}
	c, ended := s.lease.conn, make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(ended)
		if c.AwaitReadable() {
			s.wake()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
	}
}

// forwardNotices forwards the messages that an idle pinned session's backend
// connection has received. If that connection is lost or out of step, the session
// ends, because its state is lost too.
func (s *session) forwardNotices() error {
	if !s.mayReceiveNotices() {
		return nil
	}
	err := s.forwardAsynchronous()
	var clientErr *clientError
	if err == nil || errors.As(err, &clientErr) {
		return err
	}
	s.reportOutOfStep(err)
	return s.failIdleSession()
}

// forwardAsynchronous forwards the asynchronous messages that the session's
// backend connection has received while no response is outstanding. Any other
// message belongs to no statement, and it returns [errUnexpectedResponse].
func (s *session) forwardAsynchronous() error {
	c := s.lease.conn
	for !c.HasNoInput() {
		if err := c.SetReadDeadline(time.Now().Add(noticeReadTimeout)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		kind, frame, err := c.Reader.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.Reader.Buffered() == 0 {
			return nil // A TLS record without data.
		}
		switch {
		case err != nil:
			return errors.Wrap(err, "read without a statement")
		case kind == 'E' && framer.IsFatal(frame):
			return errors.Errorf("backend server ended the connection: %s", framer.ErrorField(frame, 'C'))
		case !framer.IsAsynchronous(kind):
			return errors.Wrapf(errUnexpectedResponse, "type %q without a statement", kind)
		}
		if err := s.writeToClient(frame); err != nil {
			return err
		}
		c.Reader.Consume()
	}
	return nil
}

func (s *session) failIdleSession() error {
	if s.acceptor.isClosed() {
		return errConnectionEnded // The acceptor closed the connection.
	}
	s.closeLease("connection of an idle session ended")
	return asFatal(refuser.New(refuser.NotRun, errConnectionLost.Error()))
}
