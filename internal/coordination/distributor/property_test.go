package distributor

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderpulley/internal/state/identifier"
)

// A fixed seed gives every run the same schedules. For longer runs with another
// seed: go test -run Schedules -rapid.checks=5000 -rapid.seed=<n>.
const seed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(seed)
	}
	os.Exit(m.Run())
}

// step is one event of a fault schedule.
type step struct {
	kind  string
	node  int // Index into all nodes that were ever started, by id.
	value int
}

var stepKinds = []string{
	"wait", "wait", "wait", "patch", "patch", "patch", "pause", "resume", "kill", "start", "leave",
	"no platform", "outage", "split centre", "split node", "split node", "split node", "heal", "lose answers", "delay", "absent", "slow watch",
}

func (s step) String() string {
	return fmt.Sprintf("%s %d %d", s.kind, s.node, s.value)
}

// Guards against an instance that, under any order of faults, serves an old
// version alone after a newer one was accepted or returns to an older version,
// and against a change that is reported as refused but accepted.
func TestSchedules(t *testing.T) {
	t.Logf("rapid.seed=%s", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 3).Draw(rt, "sizes")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.SampledFrom(stepKinds).Draw(rt, "kind"), rapid.IntRange(0, 11).Draw(rt, "node"), rapid.IntRange(0, 9).Draw(rt, "value")}
		}), 5, 40).Draw(rt, "steps")
		violations := simulate(t, sizes, func(t *testing.T, sim *simulation) {
			r := &scheduleRunner{sim: sim, dataCentres: len(sizes)}
			for _, s := range steps {
				r.apply(t, s)
			}
			r.apply(t, step{kind: "heal"})
			<-time.After(15 * time.Second)
			r.checkRefusedChanges()
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", violations[0])
		}
	})
}

type scheduleRunner struct {
	sim         *simulation
	dataCentres int
	patches     int

	mu      sync.Mutex
	refused []float64
}

func (r *scheduleRunner) apply(t *testing.T, s step) {
	sim := r.sim
	ids := sim.ids()
	n := sim.nodes[ids[s.node%len(ids)]]
	switch s.kind {
	case "wait":
		<-time.After(time.Duration(1+s.value*s.value) * 80 * time.Millisecond)
	case "patch":
		go r.patch(n)
		<-time.After(time.Duration(s.value) * 5 * time.Millisecond)
	case "resume":
		sim.resume(n)
	case "start":
		dc := identifier.DataCentre('x' + rune(s.value%r.dataCentres))
		sim.start(identifier.InstanceID(fmt.Sprintf("%s%02d", dc, len(ids)+20)), dc)
	case "leave":
		go func() {
			_ = n.Leave(t.Context())
			sim.withLock(func() { n.dead = true })
		}()
	default:
		sim.withLock(func() { sim.injectFault(s, n) })
	}
}

// injectFault changes the state of the network, the platform or a node. The
// caller holds sim.mu.
func (sim *simulation) injectFault(s step, n *node) {
	switch s.kind {
	case "pause":
		if n.pausedUntil == nil {
			n.pausedUntil = make(chan struct{})
		}
	case "slow watch":
		sim.watchDelay = time.Duration(s.value) * time.Second
	case "kill":
		n.dead = true
	case "absent":
		n.unlisted = !n.unlisted
	case "no platform":
		n.noPlatform = true
	case "split node":
		n.partition, n.noPlatform = s.value%3, s.value > 2
	case "delay":
		sim.delay = []time.Duration{time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond}[s.value%3]
	case "lose answers":
		var lost atomic.Int64
		sim.onWrite = func(_ *node, _ string, _ []byte, done bool) error {
			if done && lost.Add(1) <= int64(s.value) {
				return errUnreachable
			}
			return nil
		}
	default:
		sim.injectClusterFault(s, n)
	}
}

func (sim *simulation) injectClusterFault(s step, n *node) {
	for _, other := range sim.nodes {
		switch {
		case s.kind == "outage":
			other.noPlatform = true
		case s.kind == "split centre" && other.DataCentre == n.DataCentre:
			other.partition, other.noPlatform = 10, s.value%3 != 0
		case s.kind == "heal":
			other.partition, other.noPlatform, other.unlisted = 0, false, false
			sim.delay, sim.watchDelay, sim.onWrite = time.Millisecond, 0, nil
		}
	}
}

func (sim *simulation) ids() []identifier.InstanceID {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var ids []identifier.InstanceID
	for id := range sim.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *scheduleRunner) patch(n *node) {
	r.mu.Lock()
	r.patches++
	rate := r.patches
	r.mu.Unlock()
	r.sim.mu.Lock()
	base := identifier.ConfigVersion(len(r.sim.accepted))
	r.sim.mu.Unlock()
	_, err := n.patch(base, fmt.Sprintf("a%d", rate), rate)
	var refused *RefusedError
	var stale *StaleError
	if errors.As(err, &refused) || errors.As(err, &stale) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refused = append(r.refused, float64(rate))
	}
}

func (r *scheduleRunner) checkRefusedChanges() {
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rate := range r.refused {
		if slices.Contains(r.sim.accepted, rate) {
			r.sim.violations = append(r.sim.violations, fmt.Sprintf("change %v was reported as refused and is accepted", rate))
		}
	}
}
