package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/dispatcher"
	"oleanderpulley/internal/state/identifier"
)

const (
	instances         = 15
	workspaces        = 8
	floodingWorkspace = 0 // One of the two workspaces with the highest base rate.
	meanServiceTime   = 8 * time.Millisecond
	deadline          = 2 * time.Second
	warmUp            = 30 * time.Second  // Before the flood begins; not counted.
	loadDuration      = 120 * time.Second // Including warmUp.
)

// fakeServer is a backend server that runs a few statements at a time, first come
// first served, and is slow to accept connections.
type fakeServer struct {
	slots       chan struct{}
	connections int
	connectTime time.Duration
	idle        [instances]chan struct{} // Idle connections of an instance.
}

func newFakeServer(slots, connections int, connect time.Duration) *fakeServer {
	s := &fakeServer{slots: make(chan struct{}, slots), connections: connections, connectTime: connect}
	for i := range s.idle {
		s.idle[i] = make(chan struct{}, connections)
	}
	return s
}

func (s *fakeServer) run(instance int, service time.Duration) {
	select {
	case <-s.idle[instance]:
	default:
		time.Sleep(s.connectTime)
	}
	s.slots <- struct{}{}
	time.Sleep(service)
	<-s.slots
	s.idle[instance] <- struct{}{}
}

// acquireFunc admits a statement under a queueing policy.
type acquireFunc func(ctx context.Context, instance, workspace int) (func(), error)

// fairQueueing is the policy under test: one dispatcher per instance.
func fairQueueing(s *fakeServer) acquireFunc {
	dispatchers := make([]dispatcher.Dispatcher, instances)
	for i := range dispatchers {
		dispatchers[i].MaxConnections = fixedCount(s.connections)
		dispatchers[i].Slots = fixedCount(cap(s.slots))
		dispatchers[i].Instances = func() int { return instances }
	}
	return func(ctx context.Context, instance, workspace int) (func(), error) {
		return dispatchers[instance].Acquire(ctx, server, workspaceName(workspace), 1)
	}
}

// fifoWithLimit queues first come first served, with at most n statements at a time
// for each key.
func fifoWithLimit(n int, key func(instance, workspace int) int) acquireFunc {
	var mu sync.Mutex
	tokens := map[int]chan struct{}{}
	return func(ctx context.Context, instance, workspace int) (func(), error) {
		mu.Lock()
		c, ok := tokens[key(instance, workspace)]
		if !ok {
			c = make(chan struct{}, n)
			tokens[key(instance, workspace)] = c
		}
		mu.Unlock()
		select {
		case c <- struct{}{}:
			return func() { <-c }, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func workspaceName(workspace int) identifier.WorkspaceName {
	return identifier.WorkspaceName(fmt.Sprintf("w%d", workspace))
}

// result is the goodput of a workspace, as a share of the offered statements, and
// the 99th percentile of its latencies.
type result struct {
	goodput float64
	p99     time.Duration
}

// measureLoad offers the load of the active workspaces for loadDuration and
// returns the results of each. After warmUp, the flooding workspace's rate is
// multiplied by flood.
func measureLoad(t *testing.T, newServer func() *fakeServer, policy func(*fakeServer) acquireFunc, active func(int) bool, flood float64) (results [workspaces]result) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		get := policy(s)
		capacity := float64(cap(s.slots)) / meanServiceTime.Seconds()
		var mu sync.Mutex
		var latencies [workspaces][]time.Duration
		var offered [workspaces]int
		var all sync.WaitGroup
		for w := range workspaces {
			if !active(w) {
				continue
			}
			rate := capacity * 0.2 / 6
			if w < 2 {
				rate = capacity * 0.15
			}
			all.Go(func() {
				rng := rand.New(rand.NewPCG(7, uint64(w)))
				for start := time.Now(); time.Since(start) < loadDuration; {
					counted, times := time.Since(start) > warmUp, 1.0
					if counted && w == floodingWorkspace {
						times = flood
					}
					time.Sleep(time.Duration(rng.ExpFloat64() / (rate * times) * 1e9))
					instance, service := rng.IntN(instances), time.Duration(rng.ExpFloat64()*float64(meanServiceTime))
					if counted {
						offered[w]++
					}
					all.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), deadline)
						defer cancel()
						begin := time.Now()
						release, err := get(ctx, instance, w)
						if err != nil {
							return
						}
						defer release()
						s.run(instance, service)
						if took := time.Since(begin); counted && took <= deadline {
							mu.Lock()
							defer mu.Unlock()
							latencies[w] = append(latencies[w], took)
						}
					})
				}
			})
		}
		all.Wait()
		for w := range workspaces {
			if offered[w] > 0 {
				slices.Sort(latencies[w])
				results[w].goodput = float64(len(latencies[w])) / float64(offered[w])
				results[w].p99 = latencies[w][len(latencies[w])*99/100]
			}
		}
	})
	return results
}

// Guards against a workspace whose flood of statements takes the slots of the
// other workspaces. The bounds are the targets of the design document.
func TestWorstServedWorkspaceUnderAFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	for _, c := range []struct {
		name   string
		server func() *fakeServer
	}{
		{"Obi y Seda", func() *fakeServer { return newFakeServer(3, 50, 12*time.Millisecond) }},
		{"Atlas", func() *fakeServer { return newFakeServer(5, 100, 30*time.Millisecond) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var alone [workspaces]result
			for w := range workspaces {
				alone[w] = measureLoad(t, c.server, fairQueueing, func(o int) bool { return o == w }, 1)[w]
			}
			everyone := func(int) bool { return true }
			fcfs := func(s *fakeServer) acquireFunc {
				n := int(float64(s.connections) * 0.9 / instances)
				return fifoWithLimit(n, func(instance, _ int) int { return instance })
			}
			static := func(*fakeServer) acquireFunc {
				return fifoWithLimit(1, func(instance, workspace int) int { return instance*workspaces + workspace })
			}
			worst := func(label string, policy func(*fakeServer) acquireFunc, flood float64) (goodput, slowdown float64) {
				goodput = 1
				for w, r := range measureLoad(t, c.server, policy, everyone, flood) {
					if w != floodingWorkspace {
						goodput = min(goodput, r.goodput/alone[w].goodput)
						slowdown = max(slowdown, float64(r.p99)/float64(alone[w].p99))
					}
				}
				t.Logf("%-28s worst-served workspace: goodput %.3f, p99 %.2f times alone", label, goodput, slowdown)
				return goodput, slowdown
			}
			worst("dispatcher, no flood", fairQueueing, 1)
			worst("first come first served", fcfs, 8)
			worst("equal static shares", static, 8)
			goodput, slowdown := worst("dispatcher", fairQueueing, 8)
			qt.Check(t, goodput >= 0.95, qt.IsTrue)
			qt.Check(t, slowdown <= 2, qt.IsTrue)
		})
	}
}

// Guards against a window that stays at the instance's part of the slots while
// the other instances are idle: one instance that receives all traffic must be
// able to use the whole server, except for the connection kept free for other
// workspaces.
func TestOneBusyInstanceReachesTheWholeServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeServer(5, 100, 30*time.Millisecond)
		get := fairQueueing(s)
		var done int
		var mu sync.Mutex
		var all sync.WaitGroup
		rng := rand.New(rand.NewPCG(7, 7))
		for start := time.Now(); time.Since(start) < 40*time.Second; time.Sleep(time.Millisecond) {
			counted, service := time.Since(start) > 30*time.Second, time.Duration(rng.ExpFloat64()*float64(meanServiceTime))
			all.Go(func() {
				release, err := get(t.Context(), 0, 0)
				if err != nil {
					return
				}
				defer release()
				s.run(0, service)
				if counted {
					mu.Lock()
					defer mu.Unlock()
					done++
				}
			})
		}
		all.Wait()
		used := float64(done) * meanServiceTime.Seconds() / 10 / 5
		t.Logf("slots used %.2f", used)
		qt.Assert(t, used >= 0.8, qt.IsTrue)
	})
}
