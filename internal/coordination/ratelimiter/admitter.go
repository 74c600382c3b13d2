package ratelimiter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/identifier"
)

// ErrNotConnected reports that a request was not sent, because the connection to
// the peer is still being opened.
var ErrNotConnected = errors.New("peer is not connected")

// Admitter admits operations and requests tokens from peers when its Limiter
// runs short. Limiter and Request are required.
type Admitter struct {
	Limiter *Limiter
	// Request sends a request to a peer. It returns [ErrNotConnected] if the
	// request was not sent.
	Request func(ctx context.Context, to identifier.InstanceID, request TokenRequest) (Grant, error)
	Logger  zerolog.Logger
}

// Admit takes a token of the workspace. If there is none, it waits up to the
// limit for a peer's grant or for the refill by this instance's own fraction.
// It does not wait if neither can bring a token in time. If it gets no token,
// it returns the time after which the caller may retry.
func (k *Admitter) Admit(w identifier.WorkspaceName, limit time.Duration) (retryAfter time.Duration, ok bool) {
	l := k.Limiter
	if l.Take(w) {
		k.requestIfShort(w)
		return 0, true
	}
	end := time.Now().Add(limit)
	if k.awaitGrant(w, limit) {
		return 0, true
	}
	wait, ok := l.Queue(w, time.Until(end))
	if !ok {
		return l.RetryAfter(w), false
	}
	defer l.Leave(w)
	time.Sleep(wait)
	if l.TakeAgain(w) {
		return 0, true
	}
	return l.RetryAfter(w), false
}

// awaitGrant requests tokens from peers, waits up to the limit while a request
// is in flight and reports whether it got a token.
func (k *Admitter) awaitGrant(w identifier.WorkspaceName, limit time.Duration) bool {
	l := k.Limiter
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		k.requestIfShort(w)
		ended := l.RequestEnded(w)
		if l.TakeAgain(w) {
			return true
		}
		if ended == nil {
			return false
		}
		select {
		case <-ended:
		case <-timer.C:
			return l.TakeAgain(w)
		}
	}
}

func (k *Admitter) requestIfShort(w identifier.WorkspaceName) {
	if !k.Limiter.IsShort(w) {
		return
	}
	peer, request, ok := k.Limiter.NextRequest(w)
	if !ok {
		return
	}
	go k.request(w, peer, request)
}

func (k *Admitter) request(w identifier.WorkspaceName, peer identifier.InstanceID, request TokenRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	g, err := k.Request(ctx, peer, request)
	if errors.Is(err, ErrNotConnected) {
		k.Limiter.CancelRequest(w)
		return
	}
	if err != nil {
		k.Logger.Debug().Str("event", "tokens_not_granted").Str("peer", string(peer)).Err(err).Send()
		k.Limiter.FinishRequest(w, peer, nil)
		return
	}
	k.Limiter.FinishRequest(w, peer, &g)
}
