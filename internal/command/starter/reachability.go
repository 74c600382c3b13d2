package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// reachabilityTimeout limits the request, connectWait the connection
	// attempt of the peer that was asked.
	reachabilityTimeout = 900 * time.Millisecond
	connectWait         = 600 * time.Millisecond
	connectPollInterval = 50 * time.Millisecond
)

// reachAsk asks whether the receiver has a connection to an instance.
type reachAsk struct {
	Instance identifier.InstanceID `cbor:"instance"`
}

type reachReply struct {
	Reached bool `cbor:"reached"`
}

func (s *Starter) configureReaper() {
	s.reaper = reaper.Reaper{
		Self: s.Settings.InstanceID,
		Members: func() map[identifier.InstanceID]cataloger.Instance {
			if c := s.holder.Catalog(); c != nil {
				return c.Instances
			}
			return nil
		},
		Connected: s.peers.Connected,
		Ask:       s.askReachability,
		Remove:    s.store.Unregister,
		Logger:    s.Logger,
	}
}

// askReachability asks the peers whether they reach the instance.
func (s *Starter) askReachability(ctx context.Context, id identifier.InstanceID, peers []identifier.InstanceID) reaper.Answers {
	ctx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	replies := requestEach[reachReply](ctx, s, peers, reachAsk{Instance: id})
	result := reaper.Answers{Asked: len(peers)}
	for r := range replies {
		result.Answered++
		if r.body.Reached {
			result.Reached++
		}
	}
	return result
}

// checkReachability waits up to connectWait for a connection to the instance.
func (s *Starter) checkReachability(id identifier.InstanceID) reachReply {
	for end := time.Now().Add(connectWait); time.Now().Before(end); time.Sleep(connectPollInterval) {
		if s.peers.Connected(id) {
			return reachReply{Reached: true}
		}
	}
	return reachReply{}
}
