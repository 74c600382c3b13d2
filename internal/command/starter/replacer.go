package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/reporter"
	"oleanderpulley/platform"
)

// primarySeenTimeout limits the request that asks a peer whether it has seen a
// primary.
const primarySeenTimeout = 250 * time.Millisecond

// primarySeenPeers limits the number of peers that are asked, so that the cost
// of a failover does not grow with the number of instances.
const primarySeenPeers = 12

func (s *Starter) configureReplacer() {
	promotions := &platform.PromotionClient{Address: s.Settings.CloudAddress, HTTP: platform.NewHTTPClient()}
	r := &s.replacer
	r.Self = s.Settings.InstanceID
	r.Catalog = s.holder.Catalog
	r.Watchers = s.watchers
	r.Logger = s.Logger
	r.LastLed = s.balancer.LastLed
	r.Confirm = s.sessions.ConfirmLeader
	r.Status = s.sessions.Status
	r.StepDown = s.sessions.StepDown
	r.QueryPeers = s.askPrimarySeen
	r.Record = s.fencer.Record
	r.Adopt = func(service identifier.ServiceName, l cataloger.Leadership) { s.fencer.Observe(service, l) }
	r.ReadRecord = s.store.ReadLeadership
	r.WriteRecord = s.store.WriteLeadership
	r.ReadGroup = s.store.ReadGroup
	r.WriteGroup = s.store.WriteGroup
	r.Members = s.store.ReadMembers
	r.Revoke = s.revoke
	r.Announce = s.announceRecord
	r.Validity = fencer.Validity
	r.Clock = s.holder.Clock
	r.Era = s.fencer.Era
	r.IsProven = s.fencer.IsProven
	r.TokensChecked = s.Settings.TokensChecked
	r.LateLimit = platform.PromotionLateLimit
	r.Promote = promotions.Promote
	r.Observe = func(step string, took time.Duration) {
		s.registry.Observe(reporter.Series{Name: "replacement_seconds", Reason: step}, took)
	}
}

// watchers returns the instances that monitor the primary of the service.
func (s *Starter) watchers(service identifier.ServiceName) []identifier.InstanceID {
	return s.plans.plan(s.holder.Catalog(), service).IDs()
}

// askPrimarySeen asks some peers whether they have seen a primary of the
// service after since.
func (s *Starter) askPrimarySeen(ctx context.Context, service identifier.ServiceName, since time.Time) replacer.PeerSightings {
	ctx, cancel := context.WithTimeout(ctx, primarySeenTimeout)
	defer cancel()
	peers := s.usersOf(service, primarySeenPeers)
	replies := requestEach[sampleReply](ctx, s, peers, sampleAsk{Service: service})
	result := replacer.PeerSightings{Asked: len(peers)}
	for r := range replies {
		result.Answered++
		sample := sampler.Sample{Position: r.body.Position, RequestedAt: r.sent - r.body.Age}
		if !sample.Position.IsZero() && s.holder.Time(sample.RequestedAt).After(since) && !s.sessions.ShowsLostLog(service, sample) {
			result.Led = true
		}
	}
	return result
}
