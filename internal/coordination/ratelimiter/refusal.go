package ratelimiter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of [Admitter.Admit], one for each cause of a refusal.
var (
	// ErrOverRate reports that all owners that were reached have spent their
	// tokens.
	ErrOverRate = errors.New("over the rate")
	// ErrTokensElsewhere reports that an owner which did not answer in time, or
	// other instances, hold tokens.
	ErrTokensElsewhere = errors.New("tokens of the rate are held elsewhere")
	// ErrNoOwner reports that no owner answered.
	ErrNoOwner = errors.New("no owner of the rate is reached")
	// ErrOwnerStarting reports that this instance or an owner does not know the
	// limit yet, or that an owner has just started.
	ErrOwnerStarting = errors.New("an owner of the rate has just started")
)

// Reason labels a refusal in logs and metrics.
type Reason string

// Reasons of refusals.
const (
	ReasonOverRate        Reason = "over_rate"
	ReasonTokensElsewhere Reason = "tokens_elsewhere"
	ReasonNoOwner         Reason = "no_owner"
	ReasonOwnerStarting   Reason = "owner_starting"
)

// RefusalError wraps the cause of a refusal together with the time after which
// a token can be available.
type RefusalError struct {
	Err        error
	RetryAfter time.Duration
}

// Error implements error. Clients read the time, which is always in whole
// milliseconds.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%v; retry after %dms", e.Err, e.RetryAfter.Milliseconds()+1)
}

// Unwrap returns the sentinel error.
func (e *RefusalError) Unwrap() error {
	return e.Err
}

// Reason returns the label of the cause.
func (e *RefusalError) Reason() Reason {
	switch {
	case errors.Is(e.Err, ErrOverRate):
		return ReasonOverRate
	case errors.Is(e.Err, ErrTokensElsewhere):
		return ReasonTokensElsewhere
	case errors.Is(e.Err, ErrNoOwner):
		return ReasonNoOwner
	default:
		return ReasonOwnerStarting
	}
}

// Refuse returns the refusal of an operation that got no token.
func (l *Limiter) Refuse(w identifier.WorkspaceName) *RefusalError {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.bucket(w)
	if b == nil {
		at := l.unknown.next(now, minRetryAfter, minRetryAfter)
		return &RefusalError{ErrOwnerStarting, at.Sub(now)}
	}
	s := l.shares[w]
	rate := max(b.admitted.at(now), s.Limit.Rate/float64(l.peers.count()+1))
	at := b.retries.next(now, l.firstRetry(w, b, now), secondsPer(rate))
	return &RefusalError{l.cause(w, b, now), at.Sub(now)}
}

// cause returns why an operation of the workspace gets no token now. It must be
// called once for each refused operation.
func (l *Limiter) cause(w identifier.WorkspaceName, b *bucket, now time.Time) error {
	s := l.shares[w]
	denied := now.Before(b.backoffUntil)
	reached, starting, elsewhere := false, false, false
	for _, id := range s.Owners {
		if id == l.self {
			reached = true
			starting = starting || now.Before(l.shareStart) || b.isDueToStart(now, 1)
			continue
		}
		e := l.peers.find(id)
		known, ok := balance{}, false
		if e != nil {
			known, ok = e.balances[w]
		}
		switch {
		case e == nil || now.Before(e.backoffUntil) || b.isAwaiting(id):
			elsewhere = true
		case !ok || now.Sub(known.at) > maxBalanceAge:
		default:
			reached = true
			starting = starting || known.starting
			elsewhere = elsewhere || !known.starting && !denied && known.estimate(s, now) >= 1
		}
	}
	switch {
	case !reached:
		return ErrNoOwner
	case starting:
		return ErrOwnerStarting
	case elsewhere:
		return ErrTokensElsewhere
	default:
		return ErrOverRate
	}
}

// firstRetry returns the time until the first token that this instance can
// expect from an owner. If no owner has answered, it is the time until one may be
// asked again.
func (l *Limiter) firstRetry(w identifier.WorkspaceName, b *bucket, now time.Time) time.Duration {
	s := l.shares[w]
	first, nextRequest := maxRetryAfter, maxRetryAfter
	if s.ownedFraction(l.self) > 0 {
		first = l.timeUntilTokens(w, b, float64(b.queued)+1)
	}
	for _, id := range s.Owners {
		e := l.peers.find(id)
		if e == nil {
			continue
		}
		switch known, ok := e.balances[w]; {
		case now.Before(e.backoffUntil):
			nextRequest = min(nextRequest, e.backoffUntil.Sub(now))
		case ok && known.retryAt.After(now):
			first = min(first, known.retryAt.Sub(now))
		case ok:
			first = min(first, known.timeUntilToken(s, now))
		}
	}
	if first == maxRetryAfter {
		first = nextRequest
	}
	return max(first, minRetryAfter)
}

// retrySchedule assigns times to callers that were refused, one token apart.
// The zero value is ready to use.
type retrySchedule struct {
	last time.Time
}

// Bounds of the part of the time up to maxRetryAfter that one caller takes. The
// times of many callers so come ever closer to maxRetryAfter, in the order of the
// refusals.
const (
	retryCompression = 32
	// slowRetryCompression applies in proportion as the interval approaches
	// maxRetryAfter. Without it, the callers of a small rate return in less time
	// than an owner needs for one token, and those of several owners together.
	slowRetryCompression = 3
)

// next returns the time for one more caller: after first, and after the
// previous caller's time by the interval.
func (r *retrySchedule) next(now time.Time, first, interval time.Duration) time.Time {
	room := now.Add(maxRetryAfter).Sub(r.last)
	part := max(1.0/retryCompression, interval.Seconds()/maxRetryAfter.Seconds()/slowRetryCompression)
	at := r.last.Add(min(interval, time.Duration(part*float64(room))))
	if soonest := now.Add(min(first, maxRetryAfter/2)); soonest.After(at) {
		at = soonest
	}
	r.last = at
	return at
}

// secondsPer returns the time in which the rate yields one token.
func secondsPer(rate float64) time.Duration {
	if rate*maxRetryAfter.Seconds() <= 1 {
		return maxRetryAfter
	}
	return time.Duration(float64(time.Second) / rate)
}
