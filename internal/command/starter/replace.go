package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
	"oleanderpulley/platform"
)

// sightTimeout bounds the question whether a peer has seen a primary.
const sightTimeout = 250 * time.Millisecond

// sightAsks bounds the peers that are asked, so that the cost of a failover
// does not grow with the fleet.
const sightAsks = 24

func (s *Starter) assembleReplacer() {
	cloud := &platform.PromotionClient{Address: s.Settings.CloudAddress, HTTP: platform.NewHTTPClient()}
	r := &s.replacer
	r.Self = s.Settings.InstanceID
	r.Catalog = s.holder.Catalog
	r.Logger = s.Logger
	r.LastLed = s.placer.LastLed
	r.Confirm = s.sessions.Confirm
	r.Status = s.sessions.Status
	r.StepDown = s.sessions.StepDown
	r.Sight = s.sight
	r.ReadLease = s.store.ReadLease
	r.WriteLease = s.store.WriteLease
	r.Promote = cloud.Promote
	r.Observe = func(part string, took time.Duration) {
		s.registry.Observe(reporter.Series{Name: "replacement_seconds", Reason: part}, took)
	}
}

// sight asks peers whether they have seen the service led since the time.
func (s *Starter) sight(ctx context.Context, service identifier.ServiceName, since time.Time) replacer.Sight {
	ctx, cancel := context.WithTimeout(ctx, sightTimeout)
	defer cancel()
	peers := s.somePeers(sightAsks, "")
	answers := askEach[sampleReply](ctx, s, peers, sampleAsk{Service: service})
	result := replacer.Sight{Asked: len(peers)}
	for range peers {
		a := <-answers
		if a.body == nil {
			continue
		}
		result.Answered++
		if !a.body.Position.IsZero() && a.asked.Add(-a.body.Age).After(since) {
			result.Led = true
		}
	}
	return result
}
