package distributor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// simulation is an in-memory platform and network under virtual time
// (synctest).
type simulation struct {
	mu       sync.Mutex
	objects  map[string]Object
	names    map[string][]string // By kind.
	revision uint64
	changed  chan struct{}
	calls    map[string]int
	largest  int // Bytes of the largest message.
	nodes    map[identifier.InstanceID]*node
	delay    time.Duration
	// watchDelay delays the answers of watches.
	watchDelay time.Duration
	// onWrite runs before a write takes effect, and after it with done set. If
	// it returns an error, the caller receives that in place of the answer.
	onWrite    func(n *node, kind string, value []byte, done bool) error
	accepted   []float64 // Rate of workspace w in each accepted document, in order.
	violations []string  // Violated invariants.
	stopped    chan struct{}
}

type node struct {
	*Distributor
	sim *simulation
	// Set under sim.mu.
	dead, noPlatform, unlisted bool
	partition                  int // Nodes of different partitions cannot reach each other.
	pausedUntil                chan struct{}
	version                    identifier.ConfigVersion
}

var errUnreachable = errors.New("not reachable")

func newSimulation() *simulation {
	return &simulation{
		objects: map[string]Object{}, names: map[string][]string{}, changed: make(chan struct{}), calls: map[string]int{},
		nodes: map[identifier.InstanceID]*node{}, delay: time.Millisecond, stopped: make(chan struct{}),
	}
}

// simulate runs a test under virtual time with the given number of instances
// in each of the data centres x, y, ... and checks the invariants throughout.
func simulate(t *testing.T, sizes []int, f func(t *testing.T, sim *simulation)) (violations []string) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(simulationProcs))
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation()
		for c, size := range sizes {
			for i := range size {
				sim.start(identifier.InstanceID(fmt.Sprintf("%c%02d", 'x'+c, i)), identifier.DataCentre('x'+rune(c)))
			}
		}
		var checker sync.WaitGroup
		defer func() {
			close(sim.stopped)
			checker.Wait()
			for _, n := range sim.nodes {
				sim.resume(n)
				n.Close()
			}
			violations = sim.violations
		}()
		sim.await(t, 30*time.Second, func() bool { return sim.establishedCount() == len(sim.nodes) })
		checker.Go(sim.checkContinuously)
		f(t, sim)
	})
	return violations
}

// requireNoViolations runs a simulation and fails on any violation.
func requireNoViolations(t *testing.T, sizes []int, f func(t *testing.T, sim *simulation)) {
	qt.Assert(t, simulate(t, sizes, f), qt.HasLen, 0)
}

// withAndWithout runs a simulation with and without a mechanism. Without it
// there must be a violation, which shows that the scenario tests the mechanism.
func withAndWithout(t *testing.T, sizes []int, f func(t *testing.T, sim *simulation, without bool)) {
	for _, without := range []bool{false, true} {
		t.Run(fmt.Sprintf("without=%v", without), func(t *testing.T) {
			violations := simulate(t, sizes, func(t *testing.T, sim *simulation) { f(t, sim, without) })
			qt.Assert(t, len(violations) > 0, qt.Equals, without, qt.Commentf("%v", violations))
		})
	}
}

func (sim *simulation) start(id identifier.InstanceID, dc identifier.DataCentre) {
	n := &node{sim: sim}
	n.Distributor = &Distributor{
		Instance: id, DataCentre: dc, Request: n.request,
		Platform: Platform{Read: n.read, List: n.list, Write: n.write, Watch: n.watch, Live: n.live},
	}
	sim.mu.Lock()
	sim.nodes[id] = n
	sim.mu.Unlock()
	n.Start()
}

// await waits for a condition in virtual time.
func (sim *simulation) await(t *testing.T, limit time.Duration, holds func() bool) {
	t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			for _, id := range slices.Sorted(maps.Keys(sim.nodes)) {
				t.Logf("%s: %+v", id, sim.nodes[id].Status())
			}
			t.Fatalf("condition not met within %v", limit)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// establishedCount counts the instances that serve on an established roster.
func (sim *simulation) establishedCount() int {
	count := 0
	for _, n := range sim.nodes {
		if _, err := n.Current(); err == nil && n.confirmation().Established {
			count++
		}
	}
	return count
}

func (sim *simulation) servingCount() int {
	count := 0
	for _, n := range sim.nodes {
		if _, err := n.Current(); err == nil {
			count++
		}
	}
	return count
}

// admittingCount counts the live instances that accept the key.
func (sim *simulation) admittingCount(workspace identifier.WorkspaceName, key string) int {
	count := 0
	for _, n := range sim.nodes {
		if view, err := n.Current(); err == nil && !n.dead {
			if _, err := view.Authenticate(workspace, key); err == nil {
				count++
			}
		}
	}
	return count
}

// inEffect reports whether all live instances serve the version alone.
func (sim *simulation) inEffect(v identifier.ConfigVersion) bool {
	for _, n := range sim.nodes {
		view, err := n.Current()
		if !n.dead && (err != nil || view.Accepted.Version != v || view.Proposed != nil) {
			return false
		}
	}
	return true
}

// checkContinuously checks that no instance serves an old version alone after a
// newer one was accepted, and that none returns to an older version.
func (sim *simulation) checkContinuously() {
	for {
		select {
		case <-sim.stopped:
			return
		case <-time.After(20 * time.Millisecond):
			sim.checkInvariants()
		}
	}
}

func (sim *simulation) checkInvariants() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.accepted) == 0 {
		return
	}
	latestRate := sim.accepted[len(sim.accepted)-1]
	for id, n := range sim.nodes {
		view, err := n.Current()
		if err != nil || n.dead || n.pausedUntil != nil {
			continue
		}
		if rateOf(view.Accepted) != latestRate && (view.Proposed == nil || rateOf(view.Proposed) != latestRate) {
			sim.violations = append(sim.violations, fmt.Sprintf("%s serves version %d alone after version %d was accepted", id, view.Accepted.Version, len(sim.accepted)))
		}
		if view.Accepted.Version < n.version {
			sim.violations = append(sim.violations, fmt.Sprintf("%s went back from version %d to %d", id, n.version, view.Accepted.Version))
		}
		n.version = view.Accepted.Version
	}
}

func rateOf(d *configurer.Document) float64 {
	return d.Workspaces["w"].Rate
}

// patch submits a change that gives workspace w the rate.
func (n *node) patch(base identifier.ConfigVersion, attempt string, rate int) (Result, error) {
	content := fmt.Appendf(nil, `{"workspaces":{"w":{"rate":%d,"burst":1}}}`, rate)
	return n.Propose(context.Background(), Submission{Base: base, Attempt: attempt, Author: "seda", Content: content,
		Apply: func(d *configurer.Document) (*configurer.Document, error) { return d.MergePatch(content) }})
}

func (sim *simulation) resume(n *node) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if n.pausedUntil != nil {
		close(n.pausedUntil)
		n.pausedUntil = nil
	}
}

func (sim *simulation) withLock(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// transmit delays a message of the node, and blocks it while the node is paused
// or the connection is cut.
func (n *node) transmit(ctx context.Context, cut func() bool) error {
	n.sim.mu.Lock()
	delay := n.sim.delay
	n.sim.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	n.sim.mu.Lock()
	paused, blocked := n.pausedUntil, n.dead || cut()
	n.sim.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if blocked {
		<-ctx.Done()
		return errUnreachable
	}
	return nil
}

func (n *node) sendToPlatform(ctx context.Context, call string) error {
	if err := n.transmit(ctx, func() bool { return n.noPlatform }); err != nil {
		return err
	}
	n.sim.withLock(func() { n.sim.calls[call]++ })
	return nil
}

func (n *node) receiveFromPlatform(ctx context.Context) error {
	return n.transmit(ctx, func() bool { return n.noPlatform })
}

func (n *node) request(ctx context.Context, peer identifier.InstanceID, body any) (any, error) {
	sim := n.sim
	sim.mu.Lock()
	p := sim.nodes[peer]
	sim.calls["message"]++
	sim.mu.Unlock()
	if p == nil {
		return nil, errUnreachable
	}
	if err := n.transmit(ctx, func() bool { return p.dead || p.partition != n.partition }); err != nil {
		return nil, err
	}
	if err := p.transmit(ctx, func() bool { return p.partition != n.partition }); err != nil {
		return nil, err
	}
	answer, err := p.Handle(ctx, n.Instance, sim.encodeAndDecode(body))
	if err != nil {
		return nil, err
	}
	answer = sim.encodeAndDecode(answer)
	if err := p.transmit(ctx, func() bool { return p.partition != n.partition }); err != nil {
		return nil, err
	}
	return answer, n.transmit(ctx, func() bool { return false })
}

// encodeAndDecode passes a message through the encoding used between instances.
func (sim *simulation) encodeAndDecode(body any) any {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	sim.withLock(func() {
		sim.largest = max(sim.largest, len(data))
		sim.calls["message_bytes"] += len(data)
	})
	v := reflect.New(reflect.TypeOf(body))
	if err := cbor.Unmarshal(data, v.Interface()); err != nil {
		panic(err)
	}
	return v.Elem().Interface()
}
