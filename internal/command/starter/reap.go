package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// reachAsks is the number of peers that are asked about an instance.
	reachAsks = 3
	// reachTimeout bounds the question, reachWait the try of the one asked.
	reachTimeout = 900 * time.Millisecond
	reachWait    = 600 * time.Millisecond
	reachPause   = 50 * time.Millisecond
)

// reachAsk asks whether the receiver reaches an instance.
type reachAsk struct {
	Instance identifier.InstanceID `cbor:"instance"`
}

type reachReply struct {
	Reached bool `cbor:"reached"`
}

func (s *Starter) assembleReaper() {
	s.reaper = reaper.Reaper{
		Self: s.Settings.InstanceID,
		Members: func() map[identifier.InstanceID]cataloger.Member {
			if c := s.holder.Catalog(); c != nil {
				return c.Members
			}
			return nil
		},
		Connected: s.peers.Connected,
		Ask:       s.askReach,
		Remove:    s.store.Unregister,
		Logger:    s.Logger,
	}
}

// askReach asks peers whether they reach the instance.
func (s *Starter) askReach(ctx context.Context, id identifier.InstanceID) reaper.Answers {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	peers := s.somePeers(reachAsks, id)
	answers := askEach[reachReply](ctx, s, peers, reachAsk{Instance: id})
	result := reaper.Answers{Asked: len(peers)}
	for range peers {
		a := <-answers
		if a.body == nil {
			continue
		}
		result.Answered++
		if a.body.Reached {
			result.Reached++
		}
	}
	return result
}

// reaches tries to connect to an instance.
func (s *Starter) reaches(id identifier.InstanceID) reachReply {
	for end := time.Now().Add(reachWait); time.Now().Before(end); time.Sleep(reachPause) {
		if s.peers.Connected(id) {
			return reachReply{Reached: true}
		}
	}
	return reachReply{}
}
