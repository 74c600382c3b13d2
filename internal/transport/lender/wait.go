package lender

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/scheduler"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// recheckInterval is the time after which a waiting borrower checks whether a
// connection may be lent, because the limits may grow without a call of the lender,
// and whether it is cancelled.
const recheckInterval = 20 * time.Millisecond

// waitError is the error of a borrower that was not allowed to wait for a
// connection, or waited in vain.
type waitError struct {
	server identifier.BackendServerID
	cause  error // ErrCancelled or a [*scheduler.RefusalError].
}

// Error implements error.
func (e *waitError) Error() string {
	return fmt.Sprintf("server %s: %v", e.server, e.cause)
}

// Unwrap returns [ErrNoConnection] and the cause.
func (e *waitError) Unwrap() []error {
	return []error{ErrNoConnection, e.cause}
}

// waiter is a borrower that waits for a connection.
type waiter struct {
	statement scheduler.Statement
	req       Request
	pool      *serverPool
	since     time.Time
	decided   chan struct{} // Closed once grant and err are set.
	grant     grant         // Zero without an error if the pool was retired.
	err       error
}

// decide ends the wait.
func (w *waiter) decide(g grant, err error) {
	w.grant, w.err = g, err
	close(w.decided)
}

// pause returns the time until the waiter has to check something.
func (w *waiter) pause() time.Duration {
	return max(0, min(recheckInterval, time.Until(w.req.Deadline)))
}

// enqueue adds a borrower to the queue of the pool. It returns an error if the
// borrower may not wait.
func (l *Lender) enqueue(s *serverPool, req Request) (*waiter, error) {
	w := &waiter{req: req, pool: s, since: time.Now(), decided: make(chan struct{})}
	w.statement = scheduler.Statement{
		Workspace: req.Workspace, Priority: req.Priority, Target: req.Target, Deadline: req.Deadline,
		Slotless: req.Pinned, Exempt: req.AnyWorkspace, Owner: w,
	}
	shed, shedRefusal, err := s.queue.Add(&w.statement, w.since)
	if err != nil {
		return nil, l.refuse(w, err)
	}
	if shed != nil {
		other := shed.Owner.(*waiter)
		other.decide(grant{}, l.refuse(other, shedRefusal))
	}
	return w, nil
}

// await waits until the waiter is granted a connection. It returns an error if it
// gets none. The grant is zero if the borrower has to try again.
func (l *Lender) await(w *waiter) (grant, error) {
	l.dispatch(w.pool)
	timer := time.NewTimer(w.pause())
	defer timer.Stop()
	for {
		select {
		case <-w.decided:
			return l.accept(w)
		case <-timer.C:
		}
		if w.req.Cancelled != nil && w.req.Cancelled() {
			return grant{}, l.leave(w, true)
		}
		if !time.Now().Before(w.req.Deadline) {
			return grant{}, l.leave(w, false)
		}
		l.dispatch(w.pool)
		timer.Reset(w.pause())
	}
}

// accept returns the grant or the error of a waiter that was decided. A grant
// after the deadline is given back.
func (l *Lender) accept(w *waiter) (grant, error) {
	granted := w.grant.conn != nil || w.grant.reserved
	if !granted {
		return grant{}, w.err
	}
	if !time.Now().Before(w.req.Deadline) {
		return grant{}, l.leave(w, false)
	}
	l.observeWait(w, "started")
	return w.grant, nil
}

// leave removes a waiter whose deadline has passed or that was cancelled, and
// returns its error. It gives back what the waiter was granted meanwhile.
func (l *Lender) leave(w *waiter, cancelled bool) error {
	l.mu.Lock()
	isWaiting := w.pool.queue.Remove(&w.statement)
	if !isWaiting && w.err != nil {
		l.mu.Unlock()
		return w.err // Refused meanwhile.
	}
	cause := ErrCancelled
	if !cancelled {
		cause = w.pool.queue.Expire(&w.statement, time.Now())
	}
	l.mu.Unlock()
	if !isWaiting {
		l.giveBack(w.grant)
	}
	return l.refuse(w, cause)
}

// giveBack returns what a waiter was granted and does not use.
func (l *Lender) giveBack(g grant) {
	switch {
	case g.conn != nil:
		l.ReturnUnused(g.conn)
	case g.reserved:
		l.release(g, nil)
	}
}

// dispatch grants connections to the waiting borrowers of the pool as long as
// there are any to lend. It must be called without the lock.
func (l *Lender) dispatch(s *serverPool) {
	slots := l.slots(s.server)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.slots = slots
	limit := l.maxConnections(s)
	for s.queue.HasNext(s.inUse() < slots) && s.hasRoom(limit) {
		st, err := s.queue.Next(s.inUse() < slots, time.Now())
		w := st.Owner.(*waiter)
		if err != nil {
			w.decide(grant{}, l.refuse(w, err))
			continue
		}
		g, _ := s.grant(w.req, limit) // There is room.
		g.statement = st
		if g.conn != nil {
			g.conn.statement = st
		}
		w.decide(g, nil)
	}
}

// unlockAndDispatch releases the lock and grants connections if borrowers wait.
func (l *Lender) unlockAndDispatch(s *serverPool) {
	waiting := s.queue.Len() > 0
	l.mu.Unlock()
	if waiting {
		l.dispatch(s)
	}
}

// refuse counts a refusal and returns its error.
func (l *Lender) refuse(w *waiter, cause error) error {
	if l.Registry != nil {
		l.Registry.Count(reporter.Series{Name: "queue_refusals", Reason: refusalReason(cause)}, 1)
	}
	l.observeWait(w, "refused")
	return &waitError{w.req.Server.ID, cause}
}

// observeWait records the time for which a borrower has waited.
func (l *Lender) observeWait(w *waiter, outcome string) {
	if l.Registry != nil {
		l.Registry.Observe(reporter.Series{Name: "queue_wait_seconds", Reason: outcome}, time.Since(w.since))
	}
}

// refusalReason returns the name of the cause of a refusal in metrics.
func refusalReason(cause error) string {
	switch {
	case errors.Is(cause, ErrCancelled):
		return "cancelled"
	case errors.Is(cause, scheduler.ErrDeadline):
		return "deadline"
	case errors.Is(cause, scheduler.ErrExpired):
		return "expired"
	case errors.Is(cause, scheduler.ErrOverShare):
		return "workspace_share"
	default:
		return "queue_full"
	}
}
