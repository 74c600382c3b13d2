package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

var errUnreachable = errors.New("peer or platform is unreachable")

// fleet connects sharers through in-memory links and simulates the platform. It
// runs in a synctest bubble, so its time is virtual.
type fleet struct {
	mu       sync.Mutex
	rng      *rand.Rand
	nodes    []*node
	members  []*node
	removals uint64
	ledgers  [sharer.ShardCount]sharer.Ledger
	versions [sharer.ShardCount]uint64
	limits   map[identifier.WorkspaceName]limiter.Limit
	names    []identifier.WorkspaceName
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	grantDelay      time.Duration
	loss, duplicate float64               // Probability for each message.
	cutDataCentre   identifier.DataCentre // Disconnected from the others and the platform.
	delistDelay     time.Duration         // Time until the platform delists a dead instance.
	admitted        map[identifier.WorkspaceName][]admission
	messages, bytes atomic.Int64

	// Each of these disables or breaks one safety mechanism.
	skipSubtract, acceptAnyEpoch, omitUnreachable, issueFullBuckets, alwaysCurrent bool
}

type admission struct {
	at   time.Time
	cost float64
}

type node struct {
	fleet  *fleet
	sharer *sharer.Sharer
	peer   sharer.Peer
	ctx    context.Context
	kill   context.CancelFunc
	drift  float64

	messages atomic.Int64 // Sent and received.

	mu        sync.Mutex
	paused    chan struct{} // Not nil while the instance is paused.
	lastProof time.Time     // Time of the last proof that the instance is current.
}

func newFleet(ctx context.Context, seed uint64, limits map[identifier.WorkspaceName]limiter.Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), limits: limits, delistDelay: time.Second,
		admitted: map[identifier.WorkspaceName][]admission{},
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	for w := range limits {
		f.names = append(f.names, w)
	}
	slices.Sort(f.names)
	return f
}

func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		n.resume()
		n.sharer.Close()
	}
	f.tasks.Wait()
}

// add starts an instance and joins it to its roster.
func (f *fleet) add(dc identifier.DataCentre) {
	n := &node{fleet: f, peer: sharer.Peer{ID: identifier.InstanceID(fmt.Sprintf("i%03d", len(f.nodes))), DataCentre: dc}}
	n.ctx, n.kill = context.WithCancel(f.ctx)
	n.drift = 0.99 + 0.02*f.float()
	start := time.Now()
	n.sharer = &sharer.Sharer{
		Self: n.peer, Peers: n.peers, Members: n.readMembers, Request: n.request, Current: n.current,
		Removals: func() uint64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.removals
		},
		ReadLedger: n.readLedger, UpdateLedger: n.updateLedger, Limit: f.limit,
		Workspaces: func() []identifier.WorkspaceName { return f.names },
		Send: func(to identifier.InstanceID, body any) {
			f.tasks.Go(func() { _, _ = n.request(n.ctx, to, body) })
		},
		Now: func() time.Time { return start.Add(time.Duration(n.drift * float64(time.Since(start)))) },
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	n.join()
	n.sharer.Start()
	f.tasks.Go(n.renewProof)
}

func (n *node) join() {
	f := n.fleet
	n.sharer.Reset()
	f.mu.Lock()
	if n.ctx.Err() == nil { // A dead instance does not join a roster.
		f.members = append(f.members, n)
	}
	f.mu.Unlock()
	n.mu.Lock()
	n.lastProof = time.Now()
	n.mu.Unlock()
	n.sharer.Joined()
}

// renewProof proves every 300 ms that the instance is current. If it was
// removed, it resets it and joins the roster again.
func (n *node) renewProof() {
	for n.sleep(n.ctx, 300*time.Millisecond) == nil {
		if n.isPaused() {
			n.wait(n.ctx)
			continue
		}
		sent := time.Now()
		if n.isMember() {
			n.mu.Lock()
			n.lastProof = sent
			n.mu.Unlock()
		} else if n.fleet.cutOff() != n.peer.DataCentre {
			n.join()
		}
	}
}

// remove removes an instance from its roster after the platform has delisted it
// and its proof has expired.
func (f *fleet) remove(n *node) {
	f.tasks.Go(func() {
		if n.sleep(f.ctx, f.delistDelay+sharer.ProofLifetime) != nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.members = slices.DeleteFunc(f.members, func(m *node) bool { return m == n })
		f.removals++
	})
}

func (f *fleet) die(n *node) {
	n.kill()
	f.remove(n)
}

// leave drains the instance and removes it from its roster.
func (f *fleet) leave(n *node) error {
	ctx, cancel := context.WithTimeout(n.ctx, 10*time.Second)
	defer cancel()
	err := n.sharer.Drain(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(m *node) bool { return m == n })
	if err != nil {
		f.removals++
	}
	n.kill()
	return err
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// wait blocks while the instance is paused.
func (n *node) wait(ctx context.Context) {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

func (n *node) sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) current() bool {
	n.wait(n.fleet.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.alwaysCurrent || n.ctx.Err() == nil && time.Since(n.lastProof) < sharer.ProofLifetime
}

func (n *node) isMember() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return slices.Contains(n.fleet.members, n)
}

func (n *node) peers() []sharer.Peer {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var list []sharer.Peer
	for _, m := range n.fleet.members {
		if m != n {
			list = append(list, m.peer)
		}
	}
	return list
}

// admit calls Admit on the instance and records an admission.
func (n *node) admit(w identifier.WorkspaceName, cost float64) error {
	n.wait(n.ctx)
	err := n.sharer.Admit(n.ctx, w, cost)
	if err == nil {
		f := n.fleet
		f.mu.Lock()
		f.admitted[w] = append(f.admitted[w], admission{time.Now(), cost})
		f.mu.Unlock()
	}
	return err
}

func (n *node) request(ctx context.Context, to identifier.InstanceID, body any) (any, error) {
	f := n.fleet
	answer, err := n.roundTrip(ctx, f.node(to), body)
	if grant, ok := answer.(sharer.ShareGrant); ok && ctx.Err() != nil {
		// The answer arrives after the request has timed out.
		_, _ = n.sharer.Handle(f.ctx, to, grant)
	}
	return answer, err
}

func (n *node) roundTrip(ctx context.Context, m *node, body any) (any, error) {
	f := n.fleet
	if err := f.deliver(n, m, body); err != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.chance(&f.duplicate) {
		f.tasks.Go(func() {
			if m.sleep(f.ctx, time.Duration(f.float()*float64(3*time.Second))) == nil {
				_, _ = m.handle(n.peer.ID, body)
			}
		})
	}
	answer, err := m.handle(n.peer.ID, body)
	if answer == nil {
		return nil, err
	}
	if err := f.deliver(m, n, answer); err != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.wait(ctx)
	if grant, ok := answer.(sharer.ShareGrant); ok {
		time.Sleep(f.grantDelay)
		request := body.(sharer.ShareRequest)
		if f.acceptAnyEpoch && n.sharer.Epoch(request.Workspace) != request.Epoch {
			n.sharer.Restore(request.Workspace, grant.Share)
		}
	}
	return answer, err
}

func (n *node) handle(from identifier.InstanceID, body any) (any, error) {
	n.wait(n.ctx)
	if n.ctx.Err() != nil {
		return nil, n.ctx.Err()
	}
	f := n.fleet
	answer, err := n.sharer.Handle(n.ctx, from, body)
	if grant, ok := answer.(sharer.ShareGrant); ok && f.skipSubtract {
		n.sharer.Restore(body.(sharer.ShareRequest).Workspace, grant.Share)
	}
	return answer, err
}

// deliver delays a message. It returns an error if the message is lost, because
// the data centre of one end is disconnected, one end is dead, or by chance.
func (f *fleet) deliver(from, to *node, body any) error {
	f.countMessage(from, to, body)
	delay := 200 * time.Microsecond
	if from.peer.DataCentre != to.peer.DataCentre {
		delay = time.Millisecond
	}
	time.Sleep(delay + time.Duration(f.float()*float64(delay)/5))
	cut := f.cutOff()
	if from.peer.DataCentre != to.peer.DataCentre && (from.peer.DataCentre == cut || to.peer.DataCentre == cut) {
		return errUnreachable
	}
	if f.chance(&f.loss) || from.ctx.Err() != nil || to.ctx.Err() != nil {
		return errUnreachable
	}
	return nil
}

// envelopeSize is an estimate of the envelope {v, type, id, reply_to} and the
// frame around it.
const envelopeSize = 40

func (f *fleet) countMessage(from, to *node, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	f.messages.Add(1)
	f.bytes.Add(int64(len(data) + envelopeSize))
	from.messages.Add(1)
	to.messages.Add(1)
}

func (n *node) platformCall(ctx context.Context) error {
	n.wait(ctx)
	if err := n.sleep(ctx, 2*time.Millisecond); err != nil {
		return err
	}
	if n.ctx.Err() != nil || n.fleet.cutOff() == n.peer.DataCentre {
		return errUnreachable
	}
	return nil
}

func (n *node) readMembers(ctx context.Context) (sharer.Members, error) {
	if err := n.platformCall(ctx); err != nil {
		return sharer.Members{}, err
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	m := sharer.Members{Removals: n.fleet.removals}
	for _, member := range n.fleet.members {
		if n.fleet.omitUnreachable && (member.isPaused() || member.peer.DataCentre == n.fleet.cutDataCentre) {
			continue
		}
		m.Peers = append(m.Peers, member.peer)
	}
	return m, nil
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused != nil
}

func (n *node) readLedger(ctx context.Context, shard int) (sharer.Ledger, uint64, error) {
	if err := n.platformCall(ctx); err != nil {
		return sharer.Ledger{}, 0, err
	}
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledgers[shard], f.versions[shard], nil
}

func (n *node) updateLedger(ctx context.Context, shard int, l sharer.Ledger, ifVersion uint64) (uint64, error) {
	if err := n.platformCall(ctx); err != nil {
		return 0, err
	}
	f := n.fleet
	f.mu.Lock()
	if f.versions[shard] != ifVersion {
		f.mu.Unlock()
		return 0, errors.New("version conflict")
	}
	f.ledgers[shard] = l
	f.versions[shard]++
	version := f.versions[shard]
	f.mu.Unlock()
	if l.Issued && f.issueFullBuckets {
		f.tasks.Go(func() {
			time.Sleep(time.Millisecond)
			for _, w := range l.Issues {
				n.sharer.Fill(w)
			}
		})
	}
	if f.chance(&f.loss) {
		return 0, errUnreachable // The answer is lost after the update took effect.
	}
	return version, nil
}

func (f *fleet) limit(w identifier.WorkspaceName) (rate, burst float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits[w].Rate, f.limits[w].Burst
}

func (f *fleet) cutOff() identifier.DataCentre {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutDataCentre
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// chance returns true with the given probability, which a step of the schedule
// may change concurrently.
func (f *fleet) chance(probability *float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *probability > 0 && f.rng.Float64() < *probability
}

func (f *fleet) node(id identifier.InstanceID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.peer.ID == id })]
}
