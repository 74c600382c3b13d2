package allotter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/identifier"
)

// Asker admits operations and asks peers for tokens where they run short.
// Allotter and Request are required.
type Asker struct {
	Allotter *Allotter
	Request  func(ctx context.Context, to identifier.InstanceID, ask Ask) (Grant, error)
	Logger   zerolog.Logger
}

// Admit takes a token of the workspace. Without one it waits at most for the
// limit, while peers are asked or until the own part of the rate gives one, and
// then returns the time after which to try again. It does not wait where
// neither will help in time.
func (k *Asker) Admit(w identifier.WorkspaceName, limit time.Duration) (retryAfter time.Duration, ok bool) {
	a := k.Allotter
	if a.Take(w) {
		k.askIfShort(w)
		return 0, true
	}
	end := time.Now().Add(limit)
	if k.awaitGrant(w, limit) {
		return 0, true
	}
	wait, ok := a.Queue(w, time.Until(end))
	if !ok {
		return a.RetryAfter(w), false
	}
	defer a.Leave(w)
	time.Sleep(wait)
	if a.TakeAgain(w) {
		return 0, true
	}
	return a.RetryAfter(w), false
}

// awaitGrant waits while a question to a peer is under way and reports whether
// it got a token.
func (k *Asker) awaitGrant(w identifier.WorkspaceName, limit time.Duration) bool {
	a := k.Allotter
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		k.askIfShort(w)
		changed := a.Changed(w)
		if a.TakeAgain(w) {
			return true
		}
		if changed == nil {
			return false
		}
		select {
		case <-changed:
		case <-timer.C:
			return a.TakeAgain(w)
		}
	}
}

func (k *Asker) askIfShort(w identifier.WorkspaceName) {
	if !k.Allotter.IsShort(w) {
		return
	}
	peer, ask, ok := k.Allotter.Next(w)
	if !ok {
		return
	}
	go k.ask(w, peer, ask)
}

func (k *Asker) ask(w identifier.WorkspaceName, peer identifier.InstanceID, ask Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	g, err := k.Request(ctx, peer, ask)
	if err != nil {
		k.Logger.Debug().Str("event", "tokens_not_granted").Str("peer", string(peer)).Err(err).Send()
		k.Allotter.Receive(w, peer, nil)
		return
	}
	k.Allotter.Receive(w, peer, &g)
}
