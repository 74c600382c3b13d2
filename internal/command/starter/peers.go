package starter

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/sessioner"
)

const (
	// peerPingInterval is the time between pings on an idle connection to a
	// peer.
	peerPingInterval = 2 * time.Second
	// sampleTimeout limits a request for a position sample.
	sampleTimeout = 120 * time.Millisecond
	// samplePeers is the number of peers that are asked for a sample, or for
	// their catalog.
	samplePeers = 3
)

var errUnexpectedMessage = errors.New("unexpected type of message")

// sampleAsk requests the newest position sample of a service.
type sampleAsk struct {
	Service identifier.ServiceName `cbor:"service"`
}

// sampleReply returns a sample with its age. The requester subtracts the age
// from the time at which it sent the request. A zero position means that there
// is no sample.
type sampleReply struct {
	Position identifier.Position        `cbor:"position"`
	Age      time.Duration              `cbor:"age"`
	Leader   identifier.BackendServerID `cbor:"leader"`
}

// newEncoder returns an encoder with all message types between instances.
func newEncoder() *encoder.Encoder {
	e := &encoder.Encoder{}
	e.Register("tokens_ask", ratelimiter.TokenRequest{})
	e.Register("tokens_grant", ratelimiter.Grant{})
	e.Register("sample_ask", sampleAsk{})
	e.Register("sample_reply", sampleReply{})
	e.Register("relay_ask", follower.CatalogRequest{})
	// The earlier message "relayed" had catalogs that were not compressed.
	e.Register("catalog", follower.CatalogReply{})
	e.Register("reach_ask", reachAsk{})
	e.Register("reach_reply", reachReply{})
	e.Register("leadership", leadershipNotice{})
	e.Register("leadership_reply", leadershipReply{})
	e.Register("era", eraRequest{})
	e.Register("era_reply", eraReply{})
	// The earlier messages "forward" and "forwarded" had keys with names.
	e.Register("run", sessioner.ForwardRequest{})
	e.Register("ran", sessioner.ForwardReply{})
	return e
}

func (s *Starter) startPeers() error {
	s.peers = messenger.Messenger{
		Self:           encoder.Hello{Instance: s.Settings.InstanceID, DataCentre: s.Settings.DataCentre},
		Encoder:        newEncoder(),
		Handle:         s.handlePeerRequest,
		AllowPlaintext: true,
		Logger:         s.Logger,
		Ping:           peerPingInterval,
	}
	_, err := s.peers.Start(s.Settings.PeerAddress)
	return err
}

// handlePeerRequest answers a request of another instance.
func (s *Starter) handlePeerRequest(_ context.Context, from encoder.Hello, body any) (any, error) {
	switch m := body.(type) {
	case sessioner.ForwardRequest:
		return s.sessions.Execute(from.Instance, m), nil
	case ratelimiter.TokenRequest:
		return s.limiter.Give(m), nil
	case follower.CatalogRequest:
		return s.follower.Answer(m), nil
	case reachAsk:
		return s.checkReachability(m.Instance), nil
	case leadershipNotice:
		return s.observeNotice(m), nil
	case eraRequest:
		return s.answerEraRequest(m), nil
	case sampleAsk:
		return s.newestSample(m.Service), nil
	default:
		return nil, errors.Wrapf(errUnexpectedMessage, "%T", body)
	}
}

// newestSample returns the newest position sample of the service. It includes
// the primary only if it is known for the term of the sample.
func (s *Starter) newestSample(service identifier.ServiceName) sampleReply {
	sample, ok := s.sessions.Sampler(service).Latest()
	if !ok {
		return sampleReply{}
	}
	leader, term, _ := s.balancer.LastLed(service)
	if term != sample.Position.Term {
		leader = ""
	}
	return sampleReply{Position: sample.Position, Age: s.holder.Clock() - sample.RequestedAt, Leader: leader}
}

// requestTokens requests tokens of a workspace from a peer.
func (s *Starter) requestTokens(ctx context.Context, to identifier.InstanceID, ask ratelimiter.TokenRequest) (ratelimiter.Grant, error) {
	reply, err := s.peers.Request(ctx, to, ask)
	if errors.Is(err, messenger.ErrNotConnected) {
		return ratelimiter.Grant{}, errors.Wrap(ratelimiter.ErrNotConnected, err.Error())
	}
	if err != nil {
		return ratelimiter.Grant{}, err
	}
	g, ok := reply.(ratelimiter.Grant)
	if !ok {
		return ratelimiter.Grant{}, errors.Wrapf(errUnexpectedMessage, "%T", reply)
	}
	return g, nil
}

// fetchSampleFromPeers requests a sample from some homes of the service, until one
// has returned a sample that was taken at the clock reading since or later.
func (s *Starter) fetchSampleFromPeers(service identifier.ServiceName, since time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	peers := s.usersOf(service, samplePeers)
	replies := requestEach[sampleReply](ctx, s, peers, sampleAsk{Service: service})
	for r := range replies {
		if s.recordPeerSample(service, r, since) {
			return
		}
	}
}

// recordPeerSample records a peer's sample and reports whether it was taken at
// since or later. An older one may do for another read.
func (s *Starter) recordPeerSample(service identifier.ServiceName, r peerReply[sampleReply], since time.Duration) bool {
	if r.body.Position.IsZero() || r.body.Age < 0 {
		return false
	}
	sample := sampler.Sample{Position: r.body.Position, RequestedAt: r.sent - r.body.Age}
	if s.sessions.ShowsLostLog(service, sample) {
		return false
	}
	s.sessions.Sampler(service).Add(sample)
	if r.body.Leader != "" {
		s.balancer.RecordLeader(service, r.body.Leader, sample.Position.Term, s.holder.Time(sample.RequestedAt))
	}
	return sample.RequestedAt >= since
}

// requestCatalog requests the catalog from a candidate of the search for a proof.
func (s *Starter) requestCatalog(ctx context.Context, to identifier.InstanceID, request follower.CatalogRequest) (follower.CatalogReply, error) {
	sentAt := time.Now()
	reply, err := s.peers.Request(ctx, to, request)
	if err != nil {
		s.peers.Check(to, sentAt)
		return follower.CatalogReply{}, err
	}
	r, ok := reply.(follower.CatalogReply)
	if !ok {
		return follower.CatalogReply{}, errors.Wrapf(errUnexpectedMessage, "%T", reply)
	}
	return r, nil
}

// updatePeers passes the instances of the catalog to the messenger and to the search
// for a proof, and the shares of the rates to the limiter. It does nothing for a
// change of other parts of the catalog, which are frequent.
func (s *Starter) updatePeers(c *cataloger.Catalog) {
	old := s.peersOf
	sameInstances := old != nil && maps.Equal(old.Instances, c.Instances)
	if sameInstances && sameRates(old.Configuration, c.Configuration) {
		return
	}
	s.peersOf = c
	if !sameInstances {
		s.peers.SetPeers(peersOf(c.Instances))
		s.search.Adopt(c.Instances)
	}
	s.updateRates(c)
}

// updateRates passes the shares of the rates to the limiter.
func (s *Starter) updateRates(c *cataloger.Catalog) {
	peers := make([]ratelimiter.Peer, 0, len(c.Instances))
	for _, m := range c.Instances {
		peers = append(peers, ratelimiter.Peer{ID: m.ID, DataCentre: m.DataCentre})
	}
	fleet := s.plans.fleet(c)
	shares := make(map[identifier.WorkspaceName]ratelimiter.Share, len(c.Configuration.Workspaces))
	for name, w := range c.Configuration.Workspaces {
		l := ratelimiter.Limit{Rate: w.Rate, Burst: w.Burst}
		owners := fleet.Owners(name, ratelimiter.Owners(l, fleet.Size(), fleet.DataCentres()))
		shares[name] = ratelimiter.Share{Limit: l, Owners: owners}
	}
	s.limiter.Set(shares, s.Settings.InstanceID, peers)
}

// sameRates reports whether two configurations limit the same workspaces to the same
// rates.
func sameRates(a, b *cataloger.Configuration) bool {
	return a == b || maps.EqualFunc(a.Workspaces, b.Workspaces, func(v, w cataloger.Workspace) bool {
		return v.Rate == w.Rate && v.Burst == w.Burst
	})
}

func peersOf(instances map[identifier.InstanceID]cataloger.Instance) []messenger.Peer {
	peers := make([]messenger.Peer, 0, len(instances))
	for _, m := range instances {
		peers = append(peers, messenger.Peer{ID: m.ID, DataCentre: m.DataCentre, Address: m.Address})
	}
	return peers
}

// adoptDirectory prepares the requests to relays before the first catalog.
func (s *Starter) adoptDirectory(instances map[identifier.InstanceID]cataloger.Instance) {
	s.peers.SetPeers(peersOf(instances))
	s.search.Adopt(instances)
}
