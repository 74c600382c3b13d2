package starter

import (
	"context"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// peerReply is the answer of a peer to a request.
type peerReply[T any] struct {
	peer identifier.InstanceID
	sent time.Duration // Clock reading before the request was sent.
	body T
}

// requestEach sends a request to every given peer at once. The sequence yields the
// replies as they arrive and leaves out the peers that do not answer. It can be
// iterated over once, and need not be iterated to its end.
func requestEach[T any](ctx context.Context, s *Starter, peers []identifier.InstanceID, request any) iter.Seq[peerReply[T]] {
	replies := make(chan *peerReply[T], len(peers)) // Nil from a peer that did not answer.
	for _, id := range peers {
		go func() {
			sent := s.holder.Clock()
			reply, err := s.peers.Request(ctx, id, request)
			if body, ok := reply.(T); err == nil && ok {
				replies <- &peerReply[T]{peer: id, sent: sent, body: body}
				return
			}
			s.Logger.Debug().Str("event", "peer_silent").Str("peer", string(id)).Type("question", request).Err(err).Send()
			replies <- nil
		}()
	}
	return func(yield func(peerReply[T]) bool) {
		for range peers {
			if r := <-replies; r != nil && !yield(*r) {
				return
			}
		}
	}
}

// randomPeers returns up to limit peers other than excluded, in random order.
func (s *Starter) randomPeers(limit int, excluded identifier.InstanceID) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for _, p := range s.peers.Peers() { // Peers come in the random iteration order of a map.
		if p.ID != excluded && len(ids) < limit {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// usersOf returns up to limit peers that are homes of the service and therefore
// use its servers, in random order, and other peers if there are fewer.
func (s *Starter) usersOf(service identifier.ServiceName, limit int) []identifier.InstanceID {
	c := s.holder.Catalog()
	ids := s.plans.plan(c, service).IDs()
	ids = slices.DeleteFunc(ids, func(id identifier.InstanceID) bool { return id == s.Settings.InstanceID })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range s.randomPeers(limit, "") {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids[:min(limit, len(ids))]
}
