package starter

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/allotter"
	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/homer"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/messenger"
	"oleanderpulley/internal/transport/sessioner"
)

const (
	// peerPing is the period of the pings of an idle link.
	peerPing = 2 * time.Second
	// sampleTimeout bounds the question for a position sample.
	sampleTimeout = 120 * time.Millisecond
	// sampleAsks is the number of peers that are asked for one.
	sampleAsks = 3
)

var errUnexpected = errors.New("unexpected type of message")

// sampleAsk asks for the newest position sample of a service.
type sampleAsk struct {
	Service identifier.ServiceName `cbor:"service"`
}

// sampleReply tells a sample with its age, which the receiver counts from
// before its question. A zero position stands for none.
type sampleReply struct {
	Position identifier.Position        `cbor:"position"`
	Age      time.Duration              `cbor:"age"`
	Leader   identifier.BackendServerID `cbor:"leader"`
}

func (s *Starter) startPeers() error {
	var e encoder.Encoder
	e.Register("tokens_ask", allotter.Ask{})
	e.Register("tokens_grant", allotter.Grant{})
	e.Register("sample_ask", sampleAsk{})
	e.Register("sample_reply", sampleReply{})
	e.Register("relay_ask", follower.RelayAsk{})
	e.Register("relayed", follower.Relayed{})
	e.Register("reach_ask", reachAsk{})
	e.Register("reach_reply", reachReply{})
	e.Register("forward", sessioner.Forward{})
	e.Register("forwarded", sessioner.Forwarded{})
	s.peers = messenger.Messenger{
		Self:    encoder.Hello{Instance: s.Settings.InstanceID, DataCentre: s.Settings.DataCentre},
		Encoder: &e,
		Handle:  s.handlePeer,
		Private: true,
		Logger:  s.Logger,
		Ping:    peerPing,
	}
	_, err := s.peers.Start(s.Settings.PeerAddress)
	return err
}

// handlePeer answers a question of another instance.
func (s *Starter) handlePeer(_ context.Context, from encoder.Hello, body any) (any, error) {
	switch m := body.(type) {
	case sessioner.Forward:
		return s.sessions.Execute(from.Instance, m), nil
	case allotter.Ask:
		return s.allotter.Give(m), nil
	case follower.RelayAsk:
		return s.follower.Answer(m), nil
	case reachAsk:
		return s.reaches(m.Instance), nil
	case sampleAsk:
		return s.newestSample(m.Service), nil
	default:
		return nil, errors.Wrapf(errUnexpected, "%T", body)
	}
}

func (s *Starter) newestSample(service identifier.ServiceName) sampleReply {
	n, ok := s.sessions.Sampler(service).Latest()
	if !ok {
		return sampleReply{}
	}
	leader, term, _ := s.placer.LastLed(service)
	if term != n.Position.Term {
		leader = ""
	}
	return sampleReply{Position: n.Position, Age: time.Since(n.Asked), Leader: leader}
}

// requestTokens sends an ask to a peer.
func (s *Starter) requestTokens(ctx context.Context, to identifier.InstanceID, ask allotter.Ask) (allotter.Grant, error) {
	reply, err := s.peers.Request(ctx, to, ask)
	if err != nil {
		return allotter.Grant{}, err
	}
	g, ok := reply.(allotter.Grant)
	if !ok {
		return allotter.Grant{}, errors.Wrapf(errUnexpected, "%T", reply)
	}
	return g, nil
}

// askPeersForSample asks some peers for a sample and reports whether one of
// them had one that is young enough.
func (s *Starter) askPeersForSample(service identifier.ServiceName, since time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	peers := s.somePeers(sampleAsks, "")
	answers := askEach[sampleReply](ctx, s, peers, sampleAsk{Service: service})
	for range peers {
		if s.takeSample(service, <-answers, since) {
			return true
		}
	}
	return false
}

// takeSample records a peer's sample if it is young enough.
func (s *Starter) takeSample(service identifier.ServiceName, a answer[sampleReply], since time.Time) bool {
	if a.body == nil || a.body.Position.IsZero() || a.body.Age < 0 {
		return false
	}
	n := sampler.Sample{Position: a.body.Position, Asked: a.asked.Add(-a.body.Age)}
	if n.Asked.Before(since) {
		return false
	}
	s.sessions.Sampler(service).Add(n)
	if a.body.Leader != "" {
		s.placer.Led(service, a.body.Leader, n.Position.Term, n.Asked)
	}
	return true
}

// relay asks a relay of the own data centre for the catalog.
func (s *Starter) relay(ctx context.Context, known uint64) (follower.Relayed, error) {
	relays := follower.Relays(s.holder.Catalog().Members, s.Settings.DataCentre)
	for _, m := range relays {
		if m.ID == s.Settings.InstanceID {
			return follower.Relayed{}, follower.ErrNoRelay
		}
	}
	if len(relays) == 0 {
		return follower.Relayed{}, follower.ErrNoRelay
	}
	own := xxhash.Sum64String(string(s.Settings.InstanceID))
	m := relays[own%uint64(len(relays))]
	if !s.peers.Connected(m.ID) {
		return follower.Relayed{}, follower.ErrConnecting
	}
	ctx, cancel := context.WithTimeout(ctx, follower.RelayTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := s.peers.Request(ctx, m.ID, follower.RelayAsk{Known: known})
	if err != nil {
		s.peers.Check(m.ID, asked)
		return follower.Relayed{}, err
	}
	r, ok := reply.(follower.Relayed)
	if !ok {
		return follower.Relayed{}, errors.Wrapf(errUnexpected, "%T", reply)
	}
	return r, nil
}

// setPeers takes the other instances over from the catalog.
func (s *Starter) setPeers(c *cataloger.Catalog) {
	book := make([]messenger.Peer, 0, len(c.Members))
	sharing := make([]allotter.Peer, 0, len(c.Members))
	for _, m := range c.Members {
		book = append(book, messenger.Peer{ID: m.ID, DataCentre: m.DataCentre, Address: m.Address})
		sharing = append(sharing, allotter.Peer{ID: m.ID, DataCentre: m.DataCentre})
	}
	s.peers.SetPeers(book)
	dataCentres := map[identifier.DataCentre]bool{}
	for _, m := range c.Members {
		dataCentres[m.DataCentre] = true
	}
	shares := make(map[identifier.WorkspaceName]allotter.Share, len(c.Configuration.Workspaces))
	for name, w := range c.Configuration.Workspaces {
		l := allotter.Limit{Rate: w.Rate, Burst: w.Burst}
		owners := homer.Owners(name, allotter.Owners(l, len(c.Members), len(dataCentres)), c)
		shares[name] = allotter.Share{Limit: l, Owners: owners}
	}
	s.allotter.Set(shares, s.Settings.InstanceID, sharing)
}
