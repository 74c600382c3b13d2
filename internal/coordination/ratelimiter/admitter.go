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
// limit for a peer's grant or for a refill. It does not wait if neither can
// bring a token in time. If it gets no token, it returns a [*RefusalError].
func (k *Admitter) Admit(w identifier.WorkspaceName, limit time.Duration) error {
	l := k.Limiter
	if l.Take(w) {
		k.requestIfShort(w)
		return nil
	}
	l.Wait(w)
	defer l.EndWait(w)
	end := time.Now().Add(limit)
	for {
		if k.awaitGrant(w, end) {
			return nil
		}
		wait, ok := l.Queue(w, time.Until(end))
		if !ok {
			return l.Refuse(w)
		}
		time.Sleep(wait)
		l.Leave(w)
		if l.TakeAgain(w) {
			return nil
		}
	}
}

// awaitGrant requests tokens from peers, waits while a request is in flight and
// reports whether it got a token before the end.
func (k *Admitter) awaitGrant(w identifier.WorkspaceName, end time.Time) bool {
	l := k.Limiter
	timer := time.NewTimer(slowAnswer)
	defer timer.Stop()
	for {
		k.requestIfShort(w)
		ended := l.RequestEnded(w)
		if l.TakeAgain(w) {
			return true
		}
		remaining := time.Until(end)
		if ended == nil || remaining <= 0 {
			return false
		}
		timer.Reset(min(remaining, slowAnswer))
		select {
		case <-ended:
		case <-timer.C: // Another owner may be asked now.
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
		k.Limiter.CancelRequest(w, peer)
		return
	}
	if err != nil {
		k.Logger.Debug().Str("event", "tokens_not_granted").Str("peer", string(peer)).Err(err).Send()
		k.Limiter.FinishRequest(w, peer, nil)
		return
	}
	k.Limiter.FinishRequest(w, peer, &g)
}
