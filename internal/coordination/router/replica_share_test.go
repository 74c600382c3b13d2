package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
	"oleanderpulley/internal/transport/prober"
)

// laggingGroup is a group of three fake backend servers whose replicas lag, with a
// router.
type laggingGroup struct {
	router      router.Router
	group       tracker.Group
	outstanding map[identifier.BackendServerID]*atomic.Int64
	addresses   map[identifier.BackendServerID]string
}

func newLaggingGroup(tb testing.TB, lag time.Duration) *laggingGroup {
	servers, err := backendserver.StartGroup("b", 3, func(s *backendserver.Server) {
		s.Slots, s.ServiceTime, s.ReceiveLag, s.ApplyLag = 3, 2*time.Millisecond, lag, lag
	})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = servers.Close() })
	s := &laggingGroup{outstanding: map[identifier.BackendServerID]*atomic.Int64{}, addresses: map[identifier.BackendServerID]string{}}
	rights := &confirmer.Confirmer{}
	p := &prober.Prober{
		OnStatus: func(name identifier.ServiceName, st tracker.MemberStatus, sent, received time.Time) {
			rights.Observe(name, st, sent)
			s.group.Observe(st, sent, received)
		},
		OnConnectionLost: func(_ identifier.ServiceName, id identifier.BackendServerID) { s.group.Forget(id) },
	}
	members := map[identifier.BackendServerID]configurer.BackendServer{}
	var ids []identifier.BackendServerID
	var probedMembers []prober.Member
	for _, b := range servers.Servers() {
		id := identifier.BackendServerID(b.ID)
		members[id] = configurer.BackendServer{Address: b.Address(), Slots: 3}
		ids = append(ids, id)
		probedMembers = append(probedMembers, prober.Member{Server: id, Address: b.Address()})
		s.outstanding[id], s.addresses[id] = &atomic.Int64{}, b.Address()
	}
	s.group.SetMembers(ids)
	rights.SetMembers("s", ids)
	p.SetGroup("s", probedMembers)
	tb.Cleanup(p.Close)
	s.router = router.Router{
		Group: func(identifier.ServiceName) *tracker.Group { return &s.group }, HasWriteRight: rights.Valid, KeepSampled: p.KeepSampled, RequestSample: p.RequestSample,
		Members:     func(identifier.ServiceName) map[identifier.BackendServerID]configurer.BackendServer { return members },
		Outstanding: func(id identifier.BackendServerID) int { return int(s.outstanding[id].Load()) },
	}
	return s
}

// client is one session. It tracks the last value that it wrote, the
// requirement of its next read and its read statistics.
type client struct {
	*laggingGroup
	id, lastWritten            int
	conns                      map[identifier.BackendServerID]*pgconn.PgConn
	requirement                router.Read
	replicaReads, primaryReads int
	staleReads                 int
	waitTime, readTime         time.Duration
}

func (c *client) execute(server identifier.BackendServerID, sql string) (string, error) {
	if c.conns[server] == nil {
		conn, err := pgconn.Connect(context.Background(), "postgres://x@"+c.addresses[server]+"/s?sslmode=disable")
		if err != nil {
			return "", errors.Wrap(err, "connect")
		}
		c.conns[server] = conn
	}
	c.outstanding[server].Add(1)
	defer c.outstanding[server].Add(-1)
	results, err := c.conns[server].Exec(context.Background(), sql).ReadAll()
	if err != nil || len(results[0].Rows) == 0 {
		return "", err
	}
	return string(results[0].Rows[0][0]), nil
}

func (c *client) write() error {
	choice, err := c.router.RouteWrite("s")
	if err != nil {
		return err
	}
	c.lastWritten++
	_, err = c.execute(choice.Server, fmt.Sprintf("UPDATE w SET n = %d WHERE id = %d", c.lastWritten, c.id))
	c.requirement = router.Read{Since: time.Now(), WriteTerm: choice.Term}
	c.router.RequestSample("s")
	return err
}

func (c *client) read(primaryOnly bool) error {
	start := time.Now()
	choice, err := c.router.RouteRead("s", c.requirement)
	if primaryOnly {
		choice, err = c.router.RouteWrite("s")
	}
	if err != nil {
		return err
	}
	if choice.FloorKnown {
		c.requirement = router.Read{Floor: choice.Floor, FloorKnown: true}
	}
	value, err := c.execute(choice.Server, fmt.Sprintf("SELECT n FROM w WHERE id = %d", c.id))
	if n, _ := strconv.Atoi(value); n < c.lastWritten {
		c.staleReads++
	}
	if choice.Role == tracker.Replica {
		c.replicaReads++
	} else {
		c.primaryReads++
	}
	c.waitTime += choice.Waited
	c.readTime += time.Since(start)
	return err
}

// workload consists of 80% reads. Its sessions write in bursts: a session that
// has just written writes again with the probability writeAgain, so that bursts
// of 1/(1-writeAgain) writes alternate with longer phases of reads.
type workload struct {
	writeAgain, thinkTime float64 // thinkTime is the mean time between statements in ms.
}

// runSessions runs sessions concurrently and returns the share of reads at
// replicas, the mean time and the mean wait of a read in ms, the number of stale
// reads and the statements per second.
func (s *laggingGroup) runSessions(tb testing.TB, sessions int, m workload, d time.Duration, primaryOnly bool) (share, readMS, waitMS float64, stale int, rate float64) {
	var running sync.WaitGroup
	var clients []*client
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	for n := range sessions {
		c := &client{laggingGroup: s, id: n, conns: map[identifier.BackendServerID]*pgconn.PgConn{}, requirement: router.Read{Since: time.Now()}}
		clients = append(clients, c)
		running.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			writing := false
			for ctx.Err() == nil {
				// With this probability to start a burst, a fifth of all
				// statements are writes.
				startWriting := (1 - m.writeAgain) / 4
				writing = r.Float64() < map[bool]float64{true: m.writeAgain, false: startWriting}[writing]
				var err error
				if writing {
					err = c.write()
				} else {
					err = c.read(primaryOnly)
				}
				if err != nil {
					tb.Error(err)
					return
				}
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(r.ExpFloat64() * m.thinkTime * float64(time.Millisecond))):
				}
			}
			for _, conn := range c.conns {
				_ = conn.Close(context.Background())
			}
		})
	}
	running.Wait()
	var replicaReads, primaryReads, writes int
	var readTime, waitTime time.Duration
	for _, c := range clients {
		replicaReads, primaryReads, writes, stale = replicaReads+c.replicaReads, primaryReads+c.primaryReads, writes+c.lastWritten, stale+c.staleReads
		readTime, waitTime = readTime+c.readTime, waitTime+c.waitTime
	}
	reads := float64(replicaReads + primaryReads)
	return float64(replicaReads) / reads, readTime.Seconds() * 1000 / reads, waitTime.Seconds() * 1000 / reads, stale, (reads + float64(writes)) / d.Seconds()
}

// createTable creates the table with one row for each session.
func (s *laggingGroup) createTable(tb testing.TB, sessions int) {
	choice, err := s.router.RouteWrite("s")
	qt.Assert(tb, err, qt.IsNil)
	c := &client{laggingGroup: s, conns: map[identifier.BackendServerID]*pgconn.PgConn{}}
	_, err = c.execute(choice.Server, "CREATE TABLE w (id int8, n int8)")
	qt.Assert(tb, err, qt.IsNil)
	for n := range sessions {
		_, err = c.execute(choice.Server, fmt.Sprintf("INSERT INTO w VALUES (%d, 0)", n))
		qt.Assert(tb, err, qt.IsNil)
	}
	_ = c.conns[choice.Server].Close(context.Background())
}

// BenchmarkReplicaShare measures the share of reads at replicas that lag by
// 200 ms, for several costs of the primary. A cost of 0 sends all reads to the
// primary, for comparison. Run it with -benchtime 1x.
func BenchmarkReplicaShare(b *testing.B) {
	for _, m := range []workload{{0.2, 100}, {0.9, 500}} {
		for _, cost := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond} {
			b.Run(fmt.Sprintf("again=%.1f/think=%.0fms/primary=%s", m.writeAgain, m.thinkTime, cost), func(b *testing.B) {
				s := newLaggingGroup(b, 200*time.Millisecond)
				s.router.Costs.Primary = cost
				s.createTable(b, 60)
				share, read, wait, stale, rate := s.runSessions(b, 60, m, 8*time.Second, cost == 0)
				b.ReportMetric(share*100, "%replica")
				b.ReportMetric(read, "ms/read")
				b.ReportMetric(wait, "ms-wait/read")
				b.ReportMetric(float64(stale), "stale")
				b.ReportMetric(rate, "stmt/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
