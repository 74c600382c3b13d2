package acceptor

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/transport/pooler"
)

// Errors of an attempt to run a batch. Their texts may be sent to the client.
var (
	errNoWriteRight       = errors.New("no proof that the primary is still the primary")
	errUnexpectedResponse = errors.New("unexpected answer of the backend server")
	errRefusedByReplica   = errors.New("a replica refused the statement as a write")
	errNoRouting          = errors.New("routing is not set up")
	errConnectionLost     = errors.New("backend connection lost")
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	// concurrentSendSize is the size in bytes from which a batch is sent while
	// its response is read. Sending it first could deadlock: a server that
	// cannot write its response stops reading.
	concurrentSendSize = 16 << 10
)

// execute runs a batch on the connection that the session holds, or else on a
// connection to a server chosen by routing, with retries.
func (s *session) execute(b *batch, view configurer.View) error {
	ctx := s.newContext(b.started.Add(s.statementTimeout(b.settings)))
	defer ctx.stop()
	if s.txStatus == 'I' && !s.awaitingSync {
		if err := s.admit(ctx, b, view); err != nil {
			return err
		}
	}
	if s.lease != nil {
		return s.toClientError(b, s.executeOnLease(ctx, b, view))
	}
	s.acceptor.retryBudget.addTokens()
	backoff := initialBackoff
	retryUntil := b.started.Add(orDefault(s.acceptor.RetryWait, defaultRetryWait))
	for {
		err := s.attempt(ctx, b, view)
		if err == nil || !s.mayRetry(ctx, b, err) {
			return s.toClientError(b, err)
		}
		if errors.Is(err, errRefusedByReplica) {
			b.refusedByReplica = true
		} else if time.Now().Add(backoff).After(retryUntil) || !s.acceptor.retryBudget.takeToken() || ctx.sleep(backoff) != nil {
			return s.toClientError(b, err)
		}
		s.acceptor.Log.Info().Str("event", "retried").Str("workspace", string(s.workspace)).Bool("sent", b.sent).Err(err).Send()
		backoff = min(2*backoff, maxBackoff)
		b.resetForRetry()
	}
}

func (s *session) statementTimeout(st settings) time.Duration {
	if st.deadline > 0 {
		return st.deadline
	}
	return orDefault(s.acceptor.StatementTimeout, defaultStatementTimeout)
}

// admit charges the workspace's rate for a request outside a transaction or for
// the transaction that the batch begins. The cost is capped at the burst,
// because a token bucket never holds more.
func (s *session) admit(ctx *statementContext, b *batch, view configurer.View) error {
	if s.acceptor.Admit == nil {
		return nil
	}
	cost := float64(max(b.statementCount, 1))
	if _, burst := view.Limit(s.workspace); cost > burst {
		cost = max(burst, 1)
	}
	err := s.acceptor.Admit(ctx.allowWatch(), s.workspace, cost)
	return ctx.stopWatch(err)
}

// toClientError converts the final error of a batch to the error that is sent
// to the client.
func (s *session) toClientError(b *batch, err error) error {
	if err == nil {
		return nil
	}
	var clientErr *clientError
	var r *refuser.RefusalError
	switch {
	case errors.As(err, &clientErr), errors.Is(err, errConnectionEnded), errors.As(err, &r):
		return err
	case b.sent, b.sentBefore:
		return refuser.New(refuser.OutcomeUnknown, err.Error())
	case errors.Is(err, ErrEvacuated):
		return refuser.New(refuser.Evacuated, err.Error())
	}
	// These errors include addresses of backend servers, which must not be
	// disclosed to the client.
	for _, known := range []error{pooler.ErrConnect, pooler.ErrPoolExhausted} {
		if errors.Is(err, known) {
			s.acceptor.Log.Info().Str("event", "no_backend_connection").Str("workspace", string(s.workspace)).Err(err).Send()
			return refuser.New(refuser.NotRun, known.Error())
		}
	}
	return refuser.From(err)
}

// attempt chooses a server, acquires a connection to it and runs the batch
// once.
func (s *session) attempt(ctx *statementContext, b *batch, view configurer.View) error {
	choice, err := s.chooseServer(ctx, b)
	if err != nil {
		return err
	}
	if choice.Primary && !s.holdsWriteRight(choice.Term) {
		return errNoWriteRight
	}
	s.leaseStorage = lease{choice: choice}
	l := &s.leaseStorage
	if l.releaseSlot, err = s.acquireSlot(ctx, choice, view); err != nil {
		return err
	}
	l.conn, err = s.acceptor.Pooler.Acquire(ctx.allowWatch(), s.target(choice), s.workspace)
	if err = ctx.stopWatch(err); err != nil {
		if l.conn != nil {
			s.acceptor.Pooler.Release(l.conn, true)
		}
		l.releaseSlot()
		return err
	}
	s.attachLease(l)
	startupSettings := s.startupSettings
	if err := s.prepareConnection(ctx); err != nil {
		s.reportOutOfStep(err)
		s.closeLease(err.Error())
		var r *refuser.RefusalError
		if !errors.As(err, &r) {
			err = errors.Wrap(pooler.ErrConnect, err.Error())
		}
		return err
	}
	err = s.runOnLease(ctx, b)
	if err != nil && s.lease == nil {
		// The next connection needs the startup parameters again.
		s.pinned, s.startupSettings = false, startupSettings
	}
	return err
}

func (s *session) target(choice Target) pooler.Target {
	return pooler.Target{Server: choice.Server, Address: choice.Address, Database: string(s.service)}
}

// chooseServer selects the backend server for the batch. It returns a refusal
// if the session's writes may be missing there.
func (s *session) chooseServer(ctx *statementContext, b *batch) (Target, error) {
	if s.acceptor.RouteRead == nil || s.acceptor.RouteWrite == nil {
		return Target{}, errNoRouting
	}
	if err := s.resolveFloor(); err != nil {
		return Target{}, err
	}
	if s.needsPrimary(b) {
		choice, err := s.acceptor.RouteWrite(s.service)
		if err != nil {
			return choice, err
		}
		return choice, s.checkTerm(choice.Term)
	}
	choice, err := s.acceptor.RouteRead(s.service, s.readRequirements(b, ctx.deadline))
	if err == nil && choice.Primary {
		err = s.checkTerm(choice.Term)
	}
	return choice, err
}

func (s *session) needsPrimary(b *batch) bool {
	if s.openRoute != "" {
		return false
	}
	return b.class == classifier.Write || b.beginsTx && !b.readOnlyTx || b.setsState || b.refusedByReplica || len(s.startupSettings) > 0
}

// executeOnLease runs a batch on the connection that is held for the open
// transaction or by the pinned session.
func (s *session) executeOnLease(ctx *statementContext, b *batch, view configurer.View) error {
	l := s.lease
	if l.releaseSlot == nil {
		release, err := s.acquireSlot(ctx, l.choice, view)
		if err != nil {
			return err
		}
		l.releaseSlot = release
	}
	err := s.checkUnrequested()
	if err != nil {
		s.abandonLease(ctx, b, err)
	} else {
		err = s.runOnLease(ctx, b)
	}
	if err != nil && s.pinned && s.lease == nil {
		// The session state on the connection is lost, so the session cannot
		// continue.
		return s.failPinnedSession(b, err)
	}
	return err
}

// checkUnrequested returns an error if the connection that the session holds is
// lost, or has received a response although none is outstanding.
func (s *session) checkUnrequested() error {
	err := s.forwardAsynchronous()
	var clientErr *clientError
	if err == nil || errors.As(err, &clientErr) || errors.Is(err, errUnexpectedResponse) {
		return err
	}
	return s.connectionLost(err)
}

func (s *session) failPinnedSession(b *batch, err error) error {
	var clientErr *clientError
	if errors.As(err, &clientErr) || errors.Is(err, errConnectionEnded) {
		return err
	}
	return asFatal(s.toClientError(b, err))
}
