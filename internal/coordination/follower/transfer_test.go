package follower_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// largeConfiguration returns a configuration whose routes do not fit into an answer
// to a request for a proof.
func largeConfiguration(version uint64, routes int) *cataloger.Configuration {
	c := &cataloger.Configuration{Version: identifier.ConfigVersion(version), Revision: cataloger.Revision{Number: version}, Routes: map[string]cataloger.Route{}}
	for i := range routes {
		c.Routes[fmt.Sprintf("database-%x", (i+1)*104729)] = cataloger.Route{Service: identifier.ServiceName(fmt.Sprint("service-", i%8)), Priority: i % 3}
	}
	return c
}

// relayAndChild are a relay that has a large configuration, and a child with an older
// catalog whose requests and transfers it answers.
type relayAndChild struct {
	relay, child *follower.Follower
	held         *cataloger.Holder   // By the child.
	advance      func(time.Duration) // The clocks of both.
	transfers    int
}

func newRelayAndChild(t *testing.T) *relayAndChild {
	members := map[identifier.InstanceID]cataloger.Instance{"one": {ID: "one", Address: "x"}}
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, members: members}
	relay, relayHolder, relayNow := newFollower(s)
	child, held, now := newFollower(s)
	*relayNow, *now = time.Second, time.Second
	qt.Assert(t, child.Round(context.Background()), qt.IsNil)
	relayHolder.Replace(&cataloger.Catalog{Configuration: largeConfiguration(9, 1400), Instances: members, Revision: cataloger.Revision{Number: 9}})
	relayHolder.SetProof(*relayNow)
	p := &relayAndChild{relay: relay, child: child, held: held}
	child.Relay = func(_ context.Context, r follower.CatalogRequest) (follower.CatalogReply, error) {
		return relay.Answer(r), nil
	}
	child.Transfer = func(_ context.Context, _ identifier.InstanceID, r follower.CatalogRequest) (follower.CatalogReply, error) {
		p.transfers++
		return relay.Answer(r), nil
	}
	p.advance = func(d time.Duration) {
		*relayNow += d
		*now += d
	}
	return p
}

// round runs a round and waits for the transfer that it may have started.
func round(t *testing.T, f *follower.Follower) {
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	synctest.Wait()
}

// Guards against a configuration that is sent again and again: a request for a proof
// ended before the whole of it had arrived, and was repeated with the next relay.
func TestLargeUpdateIsTransferredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayAndChild(t)
		reply := p.relay.Answer(follower.CatalogRequest{Known: cataloger.Revision{Number: 5}})
		qt.Assert(t, reply.Update, qt.IsNil)
		qt.Assert(t, reply.UpdateBytes > 0, qt.IsTrue)
		round(t, p.child)
		round(t, p.child)
		qt.Assert(t, p.held.Catalog().Configuration.Version, qt.Equals, identifier.ConfigVersion(9))
		qt.Assert(t, p.transfers, qt.Equals, 1)
	})
}

// Guards against a proof of the newer catalog that is taken for one of the older
// catalog while the update is under way: a withdrawn key stayed in use.
func TestProofWaitsForTheUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayAndChild(t)
		answered := make(chan struct{})
		transfer := p.child.Transfer
		p.child.Transfer = func(ctx context.Context, from identifier.InstanceID, r follower.CatalogRequest) (follower.CatalogReply, error) {
			<-answered
			return transfer(ctx, from, r)
		}
		p.advance(300 * time.Millisecond)
		for range 3 {
			round(t, p.child)
		}
		age, _ := p.held.Age()
		qt.Assert(t, age, qt.Equals, 300*time.Millisecond)
		qt.Assert(t, p.held.Catalog().Configuration.Version, qt.Equals, identifier.ConfigVersion(1))
		close(answered)
		synctest.Wait()
		round(t, p.child)
		qt.Assert(t, p.held.Catalog().Configuration.Version, qt.Equals, identifier.ConfigVersion(9))
		qt.Assert(t, p.transfers, qt.Equals, 1)
	})
}

// Guards against a relay whose link is taken by updates: pings and statements on it
// were late, so that its peers closed their links.
func TestTransfersAreBoundedByTheLink(t *testing.T) {
	p := newRelayAndChild(t)
	relay := p.relay
	relay.LinkRate = 1.25e6
	request := follower.CatalogRequest{Known: cataloger.Revision{Number: 5}, Fetch: true}
	sent, waits := 0, 0
	const seconds = 2
	for range seconds * 100 {
		for range 24 {
			switch reply := relay.Answer(request); {
			case reply.Update != nil:
				size, err := reply.Update.Size()
				qt.Assert(t, err, qt.IsNil)
				sent += size
			case reply.Wait > 0:
				waits++
			}
		}
		p.advance(10 * time.Millisecond)
		relay.Holder.SetProof(relay.Holder.Clock())
	}
	perSecond := float64(sent) / seconds
	qt.Check(t, perSecond > 0.6*relay.LinkRate && perSecond < 0.9*relay.LinkRate, qt.IsTrue, qt.Commentf("%.0f bytes a second", perSecond))
	qt.Check(t, waits > 0, qt.IsTrue)
}

// Guards against a store that sends its lists to all instances of a fleet at the same
// moment, because no relay has started in time: with a large configuration none of
// them got it, and all tried again.
func TestLateStartsTakeTurns(t *testing.T) {
	early := 0
	for range 200 {
		s := &fakeStore{revision: 5, version: 1, configurationRevision: 3}
		f, _, now := startingFollower(s, nil)
		qt.Assert(t, f.Round(context.Background()), qt.ErrorIs, follower.ErrConnecting)
		*now += time.Second
		_ = f.Round(context.Background())
		if s.configurationReads > 0 {
			early++
		}
	}
	// Of 48 instances, five a second read the lists, after 0.6 s.
	qt.Check(t, early <= 200*5/48+20, qt.IsTrue, qt.Commentf("%d of 200 read the lists within 0.4 s of their turn", early))
}
