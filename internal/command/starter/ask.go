package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// answer is what a peer said to a question.
type answer[T any] struct {
	asked time.Time
	body  *T // Nil if no answer came.
}

// askEach asks peers the same question. Each of them gives one answer on the
// channel.
func askEach[T any](ctx context.Context, s *Starter, peers []identifier.InstanceID, question any) <-chan answer[T] {
	answers := make(chan answer[T], len(peers))
	for _, id := range peers {
		go func() {
			a := answer[T]{asked: time.Now()}
			reply, err := s.peers.Request(ctx, id, question)
			if body, ok := reply.(T); err == nil && ok {
				a.body = &body
			} else {
				s.Logger.Debug().Str("event", "peer_silent").Str("peer", string(id)).Type("question", question).Err(err).Send()
			}
			answers <- a
		}()
	}
	return answers
}

// somePeers returns at most the given number of peers, without the excepted
// one, in random order.
func (s *Starter) somePeers(most int, except identifier.InstanceID) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for _, p := range s.peers.Peers() { // In the random order of a map.
		if p.ID != except && len(ids) < most {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
