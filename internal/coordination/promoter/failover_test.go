package promoter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/connector"
	"oleanderpulley/internal/fake/platformserver"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
	"oleanderpulley/internal/transport/platformclient"
	"oleanderpulley/internal/transport/prober"
)

// testInstance is the part of an entry instance that manages a group. It uses the
// fake backend servers and platform.
type testInstance struct {
	prober    prober.Prober
	promoter  promoter.Promoter
	confirmer confirmer.Confirmer
	group     tracker.Group
	platform  platformclient.Client
	draining  sync.Map
	events    chan promoter.Event
	steps     stepLog
}

// stepLog collects what an instance observed, one line each.
type stepLog struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (l *stepLog) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(&l.lines, "%s %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, values...))
}

func (l *stepLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// steps returns what the instances observed, for the report of a failed test.
func (c *cluster) steps() string {
	var b strings.Builder
	for _, ti := range c.instances {
		fmt.Fprintf(&b, "%s:\n%s", ti.promoter.Instance, ti.steps.String())
	}
	return b.String()
}

// cluster is a group of fake backend servers, a fake platform, and the instances.
type cluster struct {
	backends  *backendserver.Group
	platform  *platformserver.Server
	instances []*testInstance
	// network connects the members of the cluster; nil connects them with sockets.
	network *connector.Network
}

func newCluster(t *testing.T, instances int, configure func(*backendserver.Server)) *cluster {
	return (&cluster{}).start(t, instances, configure)
}

// newSimulatedCluster is like newCluster, for a test in a synctest bubble.
func newSimulatedCluster(t *testing.T, instances int) *cluster {
	c := &cluster{network: &connector.Network{}}
	return c.start(t, instances, func(s *backendserver.Server) { s.Listen = c.network.Listen })
}

func (c *cluster) start(t *testing.T, instances int, configure func(*backendserver.Server)) *cluster {
	backends, err := backendserver.StartGroup("b", 3, configure)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, backends.Close(), qt.IsNil) })
	platform := &platformserver.Server{}
	if c.network != nil {
		platform.Listen = c.network.Listen
	}
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { allocator.Release(address) })
	_, err = platform.Start(address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, platform.Close(), qt.IsNil) })
	c.backends, c.platform = backends, platform
	var ids []identifier.InstanceID
	for n := range instances {
		ids = append(ids, identifier.InstanceID(fmt.Sprintf("i%d", n)))
	}
	for _, id := range ids {
		ti := c.newTestInstance(id, "http://"+address)
		ti.promoter.Instances = func() []identifier.InstanceID { return ids }
		c.instances = append(c.instances, ti)
	}
	for _, ti := range c.instances {
		ti.promoter.OnTermOpened = func(identifier.ServiceName, identifier.Term) {
			for _, other := range c.instances {
				other.prober.RequestSample(service)
			}
		}
		ti.start(t, c)
	}
	return c
}

func (c *cluster) newTestInstance(id identifier.InstanceID, platform string) *testInstance {
	ti := &testInstance{platform: platformclient.Client{BaseURL: platform, InstanceID: string(id)}, events: make(chan promoter.Event, 1000)}
	ti.prober = prober.Prober{
		Instance: id,
		OnStatus: func(_ identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time) {
			ti.confirmer.Observe(service, st, sent)
			ti.group.Observe(st, sent, received)
			ti.promoter.Check(service)
		},
		OnConnectionLost: func(_ identifier.ServiceName, server identifier.BackendServerID) { ti.group.Forget(server) },
		OnSuspected: func(_ identifier.ServiceName, server identifier.BackendServerID, cause error, since time.Time) {
			ti.steps.add("suspects %s, last answered query sent at %s: %v", server, since.Format("05.000"), cause)
			ti.promoter.Suspect(service, server, since)
		},
	}
	if c.network != nil {
		ti.prober.Dial = c.network.Dial
		ti.platform.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: c.network.Dial}}
	}
	ti.promoter = promoter.Promoter{
		Instance: id,
		Group:    func(identifier.ServiceName) *tracker.Group { return &ti.group },
		Status:   ti.prober.Status, Fence: ti.prober.Fence, Promote: ti.prober.Promote, Follow: ti.prober.Follow,
		Members: func(identifier.ServiceName) (all []promoter.Member) {
			for _, s := range c.backends.Servers() {
				all = append(all, promoter.Member{Server: identifier.BackendServerID(s.ID), Address: s.Address()})
			}
			return all
		},
		ReadGroup: func(ctx context.Context, s identifier.ServiceName) (rec promoter.GroupRecord, v uint64, err error) {
			o, err := ti.platform.Get(ctx, "group", string(s))
			if errors.Is(err, platformclient.ErrNotFound) {
				return rec, 0, nil
			}
			if err != nil {
				return rec, 0, err
			}
			return rec, o.Version, json.Unmarshal(o.Value, &rec)
		},
		UpdateGroup: func(ctx context.Context, s identifier.ServiceName, rec promoter.GroupRecord, v uint64) (uint64, error) {
			return ti.platform.Put(ctx, "group", string(s), rec, v)
		},
		Leaving: func(s identifier.BackendServerID) bool { _, ok := ti.draining.Load(s); return ok },
		OnStep: func(e promoter.Event) {
			ti.steps.add("%+v", e)
			ti.events <- e
		},
	}
	return ti
}

func (ti *testInstance) start(t *testing.T, c *cluster) {
	var servers []identifier.BackendServerID
	var members []prober.Member
	for _, s := range c.backends.Servers() {
		servers = append(servers, identifier.BackendServerID(s.ID))
		members = append(members, prober.Member{Server: identifier.BackendServerID(s.ID), Address: s.Address()})
	}
	ti.group.SetMembers(servers)
	ti.confirmer.SetMembers(service, servers)
	ti.prober.SetGroup(service, members)
	t.Cleanup(func() {
		ti.promoter.Close()
		ti.prober.Close()
	})
}

// keepGroupInUse marks the group as used at every instance until the test ends,
// so that the instances keep sampling it.
func (c *cluster) keepGroupInUse(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for tick := time.NewTicker(20 * time.Millisecond); ctx.Err() == nil; <-tick.C {
			for _, ti := range c.instances {
				ti.prober.KeepSampled(service)
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// await waits until the condition holds. It checks it at each change of the
// instance's group, and fails the test after the limit.
func (ti *testInstance) await(t *testing.T, condition string, limit time.Duration, holds func() bool) {
	t.Helper()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	for {
		changed := ti.group.Changed()
		if holds() {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			t.Fatalf("not within %s: %s; %+v", limit, condition, ti.group.Statuses())
		}
	}
}

// writable reports whether the instance has a valid write right for a primary of
// the term or a later one.
func (ti *testInstance) writable(term identifier.Term) bool {
	_, newest, ok := ti.group.Primary()
	return ok && newest >= term && ti.confirmer.Valid(service, newest)
}

// primary returns the fake backend server that the instance considers primary.
func (c *cluster) primary(ti *testInstance) *backendserver.Server {
	id, _, _ := ti.group.Primary()
	for _, s := range c.backends.Servers() {
		if s.ID == string(id) {
			return s
		}
	}
	return nil
}

// awaitReady keeps the group in use and waits until every instance can write and
// all three members have a log.
func (c *cluster) awaitReady(t *testing.T) {
	t.Helper()
	c.keepGroupInUse(t)
	for _, ti := range c.instances {
		ti.await(t, "a write right and three members with a log", 5*time.Second, func() bool {
			logs := 0
			for _, st := range ti.group.Statuses() {
				logs += int(min(st.Term, 1))
			}
			return ti.writable(1) && logs == 3
		})
	}
}

// awaitOpened returns the first StepOpened event of any instance, and fails the
// test after the limit.
func (c *cluster) awaitOpened(t *testing.T, limit time.Duration) promoter.Event {
	t.Helper()
	deadline := time.After(limit)
	merged := make(chan promoter.Event)
	for _, ti := range c.instances {
		go func() {
			for {
				select {
				case e := <-ti.events:
					if e.Step == promoter.StepOpened {
						select {
						case merged <- e:
						case <-deadline:
						}
						return
					}
				case <-t.Context().Done():
					return
				}
			}
		}()
	}
	select {
	case e := <-merged:
		return e
	case <-deadline:
		t.Fatalf("no term opened within %s", limit)
	}
	return promoter.Event{}
}

// inBubble runs the test in a synctest bubble, on one processor: with Go 1.26.8 and the
// race detector, two goroutines of a bubble that find expired timers at the same time
// crash the process.
func inBubble(t *testing.T, test func(*testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, test)
}

// Guards against a failover that takes more than the target of 5 s, if the
// primary refuses connections and if it does not answer.
func TestFailoverGap(t *testing.T) {
	for name, fail := range map[string]func(*backendserver.Server){
		"refused": func(s *backendserver.Server) { _ = s.Kill(true) },
		"silent":  func(s *backendserver.Server) { s.SetFaults(backendserver.Faults{Paused: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newSimulatedCluster(t, 3)
				c.awaitReady(t)
				former := c.primary(c.instances[0])
				began := time.Now()
				fail(former)
				for _, ti := range c.instances {
					ti.await(t, "a write right in the next term", 18*time.Second, func() bool { return ti.writable(2) })
				}
				gap := time.Since(began)
				e := c.awaitOpened(t, 5*time.Second)
				t.Logf("gap %s: %+v", gap, e.Gap)
				qt.Assert(t, gap < 5*time.Second, qt.IsTrue, qt.Commentf("%s\n%s", gap, c.steps()))

				former.SetFaults(backendserver.Faults{})
				if name == "refused" {
					qt.Assert(t, former.Restart(), qt.IsNil)
				}
				c.instances[0].await(t, "the former primary follows", 10*time.Second, func() bool {
					st, _, ok := c.instances[0].group.Status(identifier.BackendServerID(former.ID))
					return ok && st.Role == tracker.Replica && st.Term == 2
				})
			})
		})
	}
}

// Guards against replacing a primary that answers slowly, or whose open
// connections no longer deliver data.
func TestHealthyPrimaryIsKept(t *testing.T) {
	for name, disturb := range map[string]func(*backendserver.Server){
		"slow":              func(s *backendserver.Server) { s.SetFaults(backendserver.Faults{SlowMS: 1900}) },
		"silent connection": func(s *backendserver.Server) { s.HangOpenConnections() },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newSimulatedCluster(t, 2)
				c.awaitReady(t)
				former := c.primary(c.instances[0])
				disturb(former)
				began := time.Now()
				for _, ti := range c.instances {
					for range 2 { // Each answer arrives late or on a new connection.
						since := time.Now()
						ti.await(t, "an answer of the primary", 6*time.Second, func() bool { return ti.group.AnsweredAsPrimary(1, since) })
					}
				}
				former.SetFaults(backendserver.Faults{})
				for _, ti := range c.instances {
					ti.await(t, "a write right after the disturbance", 6*time.Second, func() bool { return ti.writable(1) })
					_, term, _ := ti.group.Primary()
					qt.Assert(t, term, qt.Equals, identifier.Term(1))
				}
				t.Logf("writable again after %s", time.Since(began))
			})
		})
	}
}

// Guards against losing write rights for a healthy primary during an outage of
// the platform, and against a missing promotion after the outage.
func TestPlatformOutage(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.awaitReady(t)
	qt.Assert(t, c.platform.SetFaults(platformserver.Faults{Down: platformserver.DownRefuse}), qt.IsNil)
	ti := c.instances[0]
	for range 5 {
		since := time.Now()
		ti.await(t, "answers of all members during the outage", 2*time.Second, func() bool { return ti.group.CountAnswered(since) == 3 })
		qt.Assert(t, ti.writable(1), qt.IsTrue)
	}
	qt.Assert(t, c.primary(ti).Kill(true), qt.IsNil)
	for e := range ti.events { // The attempt fails because the platform is unavailable.
		if e.Step == promoter.StepFailed && errors.Is(e.Err, platformclient.ErrUnavailable) {
			break
		}
	}
	_, term, _ := ti.group.Primary()
	qt.Assert(t, term, qt.Equals, identifier.Term(1))
	qt.Assert(t, c.platform.SetFaults(platformserver.Faults{LoseAnswer: true}), qt.IsNil)
	ti.await(t, "a write right in the next term although answers of updates are lost", 10*time.Second, func() bool { return ti.writable(2) })
}

// Guards against a planned change of primary that loses a committed write, or
// that waits for write rights to end although the draining primary answers.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	c := newCluster(t, 2, func(s *backendserver.Server) { s.ReceiveLag, s.ApplyLag = 200*time.Millisecond, 200*time.Millisecond })
	c.awaitReady(t)
	former := c.primary(c.instances[0])
	conn, err := pgconn.Connect(t.Context(), "postgres://x@"+former.Address()+"/s?sslmode=disable")
	qt.Assert(t, err, qt.IsNil)
	for _, sql := range []string{"CREATE TABLE k (id int8)", "INSERT INTO k VALUES (1)"} {
		_, err = conn.Exec(t.Context(), sql).ReadAll()
		qt.Assert(t, err, qt.IsNil)
	}
	end := former.Status().Received
	began := time.Now()
	for _, ti := range c.instances {
		ti.draining.Store(identifier.BackendServerID(former.ID), true)
	}
	for _, ti := range c.instances {
		ti.await(t, "a write right in the next term", 5*time.Second, func() bool { return ti.writable(2) })
	}
	gap := time.Since(began)
	e := c.awaitOpened(t, 5*time.Second)
	t.Logf("handed over after %s: %+v", gap, e.Gap)
	next := c.primary(c.instances[0])
	qt.Assert(t, next.ID, qt.Not(qt.Equals), former.ID)
	qt.Assert(t, next.Status().Received >= end, qt.IsTrue)
	qt.Assert(t, e.Gap.Waiting < time.Second, qt.IsTrue)
}

// Guards against reads from a replica that restarted without its data, and against
// not repairing it.
func TestReplicaWithoutItsDataIsRepaired(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.awaitReady(t)
	former := c.primary(c.instances[0])
	conn, err := pgconn.Connect(t.Context(), "postgres://x@"+former.Address()+"/s?sslmode=disable")
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Exec(t.Context(), "CREATE TABLE k (id int8)").ReadAll()
	qt.Assert(t, err, qt.IsNil)
	floor := identifier.Position{Term: 1, Offset: identifier.LogOffset(former.Status().Received)}
	var replica *backendserver.Server
	for _, s := range c.backends.Servers() {
		if s != former {
			replica = s
		}
	}
	id := identifier.BackendServerID(replica.ID)
	ti := c.instances[0]
	covered := func() bool { return ti.group.Covers(id, floor) == tracker.Covered }
	ti.await(t, "the replica covers the write", 5*time.Second, covered)
	before, _, _ := ti.group.Status(id)
	qt.Assert(t, replica.Kill(false), qt.IsNil)
	ti.await(t, "the replica's position is unknown", 5*time.Second, func() bool { return ti.group.Covers(id, floor) == tracker.Unknown })
	qt.Assert(t, replica.Restart(), qt.IsNil)
	ti.await(t, "the replica answers", 5*time.Second, func() bool { _, _, ok := ti.group.Status(id); return ok })
	after, _, _ := ti.group.Status(id)
	qt.Assert(t, after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
	ti.await(t, "the replica covers the write again", 5*time.Second, covered)
	qt.Assert(t, uint64(floor.Offset) <= replica.Status().Applied, qt.IsTrue)
}
