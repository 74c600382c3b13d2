package follower_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Links of a loaded fleet, in bytes a second, and the limits of its target.
const (
	ordinaryLink = 1.25e6 // Of an instance: 10 Mbit/s.
	storeLink    = 125e6
	storeReads   = 6000             // Calls a second.
	inForce      = 10 * time.Second // Within which a change reaches every instance.
	restRate     = 13e3             // Bytes a second of an instance for control at rest.
)

// load makes a simulated fleet carry catalogs of a certain size over links of a
// certain rate, and measures what it takes.
type load struct {
	mu            sync.Mutex
	configuration *cataloger.Configuration
	revision      uint64
	listBytes     int // Of the configuration and the instances, as the store sends them.
	storeFreeAt   time.Time
	linkFreeAt    map[identifier.InstanceID]time.Time
	traffic       map[identifier.InstanceID]*traffic
	storeBytes    int
}

// traffic is what an instance has sent.
type traffic struct {
	bytes, messages int
}

// change replaces the configuration by one with other entries.
func (l *load) change(t *testing.T, version uint64, routes, instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuration = largeConfiguration(version, routes)
	for name, route := range l.configuration.Routes {
		route.Priority += int(version)
		l.configuration.Routes[name] = route
	}
	l.revision = version
	data, err := cbor.Marshal(l.configuration)
	qt.Assert(t, err, qt.IsNil)
	l.listBytes = len(data) + 150*instances
}

// send records that an instance sends a message, and returns when its link has
// carried it.
func (l *load) send(from identifier.InstanceID, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.traffic[from] == nil {
		l.traffic[from] = &traffic{}
	}
	l.traffic[from].bytes += size
	l.traffic[from].messages++
	start := time.Now()
	if l.linkFreeAt[from].After(start) {
		start = l.linkFreeAt[from]
	}
	l.linkFreeAt[from] = start.Add(time.Duration(float64(size) / ordinaryLink * float64(time.Second)))
	return l.linkFreeAt[from]
}

// sendLists returns when the store's link and that of the instance have carried the
// lists.
func (l *load) sendLists() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeBytes += l.listBytes
	start := time.Now()
	if l.storeFreeAt.After(start) {
		start = l.storeFreeAt
	}
	l.storeFreeAt = start.Add(time.Duration(float64(l.listBytes) / storeLink * float64(time.Second)))
	return l.storeFreeAt.Add(time.Duration(float64(l.listBytes) / ordinaryLink * float64(time.Second)))
}

// drain returns the traffic of the busiest instances since the last call.
func (l *load) drain() (busiest traffic, storeBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, tr := range l.traffic {
		busiest.bytes = max(busiest.bytes, tr.bytes)
		busiest.messages = max(busiest.messages, tr.messages)
	}
	clear(l.traffic)
	storeBytes, l.storeBytes = l.storeBytes, 0
	return busiest, storeBytes
}

func sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-time.After(time.Until(at)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newLoadedFleet returns a fleet whose instances are registered and start with no
// catalog.
func newLoadedFleet(t *testing.T, seed uint64, size, dataCentres, routes int) *fleet {
	fl := newFleet(seed, size, dataCentres)
	fl.load = &load{linkFreeAt: map[identifier.InstanceID]time.Time{}, traffic: map[identifier.InstanceID]*traffic{}}
	fl.load.change(t, 5, routes, size)
	for _, n := range fl.all {
		n.carry(fl.load)
	}
	return fl
}

// carry makes the instance send over the links of the load.
func (n *simulatedInstance) carry(l *load) {
	leaderships, servers := n.follower.Store.Leaderships, n.follower.Store.Servers
	n.follower.Store.Leaderships = func(ctx context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
		records, _, err := leaderships(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		return records, cataloger.Revision{Number: l.revision}, err
	}
	n.follower.Store.Servers = func(ctx context.Context) (map[identifier.ServiceName][]cataloger.BackendServer, cataloger.Revision, error) {
		all, _, err := servers(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		return all, cataloger.Revision{Number: l.revision}, err
	}
	n.follower.Store.Configuration = func(ctx context.Context) (*cataloger.Configuration, cataloger.Revision, error) {
		if err := n.callStore(ctx); err != nil {
			return nil, cataloger.Revision{Number: 0}, err
		}
		if err := sleepUntil(ctx, l.sendLists()); err != nil {
			return nil, cataloger.Revision{Number: 0}, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.configuration, cataloger.Revision{Number: l.revision}, nil
	}
	n.follower.Store.Members = func(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, cataloger.Revision, error) {
		return maps.Clone(n.fleet.members), cataloger.Revision{Number: 0}, n.callStore(ctx)
	}
	n.follower.Store.Directory = func(ctx context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
		return maps.Clone(n.fleet.members), n.callStore(ctx)
	}
	n.follower.OnDirectory = func(members map[identifier.InstanceID]cataloger.Instance) { n.search.Adopt(members) }
	n.follower.LinkRate = ordinaryLink
	request := n.search.Request
	carried := func(ctx context.Context, to identifier.InstanceID, r follower.CatalogRequest) (follower.CatalogReply, error) {
		l.send(n.id, messageBytes(r))
		reply, err := request(ctx, to, r)
		if err != nil {
			return reply, err
		}
		return reply, sleepUntil(ctx, l.send(to, messageBytes(reply)))
	}
	n.search.Request, n.follower.Transfer = carried, carried
}

func messageBytes(message any) int {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data) + 60 // Envelope and frame.
}

// waitInForce waits until every instance that reaches the store has the version and
// a recent proof, and returns how long that took.
func (fl *fleet) waitInForce(version identifier.ConfigVersion, f failure) time.Duration {
	started := time.Now()
	for time.Since(started) < 3*inForce {
		missing := 0
		for _, id := range f.servable(fl.members) {
			h := fl.all[id].holder
			age, proven := h.Age()
			if !proven || age > fencer.Validity || h.Catalog().Configuration.Version < version {
				missing++
			}
		}
		if missing == 0 {
			break
		}
		time.Sleep(sampleInterval)
	}
	return time.Since(started)
}

// Guards against control traffic that grows with the fleet or with the size of the
// configuration, so that a fleet never settles: at 300 instances with a tenth of a
// processor, relays sent whole configurations again and again, instances that started
// read all lists from the store, and a change was in force nowhere.
func TestControlTrafficIsBounded(t *testing.T) {
	for _, test := range []struct{ instances, dataCentres, routes int }{
		{30, 3, 1400}, {300, 3, 1400}, {300, 3, 5000}, {1900, 22, 1400},
	} {
		t.Run(fmt.Sprintf("%d instances, %d routes", test.instances, test.routes), func(t *testing.T) {
			if test.instances > 300 && (testing.Short() || raceEnabled) {
				t.Skip("takes long with the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				fl := newLoadedFleet(t, 1, test.instances, test.dataCentres, test.routes)
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				for _, n := range fl.all {
					running.Go(func() {
						time.Sleep(rand.N(300 * time.Millisecond))
						n.follower.Run(ctx)
					})
				}
				report := func(phase string, took time.Duration) {
					busiest, storeBytes := fl.load.drain()
					seconds := max(1, took.Seconds())
					t.Logf("%s: in force after %d ms; busiest instance %.1f kB/s, %.0f messages/s; store %.1f kB/s, %.0f calls/s", phase, took.Milliseconds(),
						float64(busiest.bytes)/seconds/1e3, float64(busiest.messages)/seconds, float64(storeBytes)/seconds/1e3, float64(len(fl.callTimes()))/seconds)
					qt.Check(t, took <= inForce, qt.IsTrue, qt.Commentf("%s", phase))
					qt.Check(t, float64(busiest.bytes)/seconds <= ordinaryLink, qt.IsTrue, qt.Commentf("%s", phase))
					qt.Check(t, float64(storeBytes)/seconds <= storeLink, qt.IsTrue, qt.Commentf("%s", phase))
					qt.Check(t, float64(len(fl.callTimes()))/seconds <= storeReads, qt.IsTrue, qt.Commentf("%s", phase))
					fl.forgetCalls()
				}
				report("all start", fl.waitInForce(5, failure{}))

				fl.load.change(t, 6, test.routes, test.instances)
				report("another configuration", fl.waitInForce(6, failure{}))

				const rest = 5 * time.Second
				time.Sleep(rest)
				busiest, _ := fl.load.drain()
				t.Logf("at rest: busiest instance %.1f kB/s, %.0f messages/s", float64(busiest.bytes)/rest.Seconds()/1e3, float64(busiest.messages)/rest.Seconds())
				qt.Check(t, float64(busiest.bytes)/rest.Seconds() <= restRate, qt.IsTrue)

				stopped := relaysStopped(nil, fl)
				fl.fail(stopped)
				fl.load.change(t, 7, test.routes, test.instances)
				report("relays stopped", fl.waitInForce(7, stopped))
				fl.fail(failure{})
				fl.waitInForce(7, failure{})
				fl.load.drain()
				fl.forgetCalls()

				silent := storeLost(nil, fl)
				silent.silent = true
				fl.fail(silent)
				time.Sleep(rest)
				fl.load.change(t, 8, test.routes, test.instances)
				fl.fail(failure{})
				report("after silence of the store", fl.waitInForce(8, failure{}))
				cancel()
				running.Wait()
			})
		})
	}
}
