package sharer

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// maxRefillGap is the time between two uses of a bucket above which no tokens
// are added for it. The periodic work uses each bucket more often, so after a
// longer time the instance was paused and may have missed a lowered rate.
const maxRefillGap = 2 * time.Second

// Peer identifies an instance of the fleet.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// Sharer holds this instance's shares of all workspaces and transfers shares
// between instances. The exported fields must be set before use and not changed
// afterwards.
type Sharer struct {
	Self Peer
	// SingleInstance is set for a fleet of one instance, which then holds the
	// whole of each limit.
	SingleInstance bool
	// Peers returns the other instances in the rosters, reachable or not.
	Peers func() []Peer
	// Removals returns the locally known value of [Members.Removals].
	Removals func() uint64
	// Members reads the rosters from the platform.
	Members func(ctx context.Context) (Members, error)
	// ReadLedger reads `ledger/<shard>`. An object that does not exist has
	// version 0.
	ReadLedger func(ctx context.Context, shard int) (Ledger, uint64, error)
	// UpdateLedger writes the object if its version is still ifVersion, where 0
	// means that it must not exist, and returns the new version.
	UpdateLedger func(ctx context.Context, shard int, ledger Ledger, ifVersion uint64) (uint64, error)
	// Request sends a message to a peer and returns the answer of the peer's
	// [Sharer.Handle]. Send sends a message that needs no answer.
	Request func(ctx context.Context, peer identifier.InstanceID, body any) (any, error)
	Send    func(peer identifier.InstanceID, body any)
	// Current reports whether a proof no older than [ProofLifetime] at the time
	// of the call shows that this instance has the accepted configuration and
	// is in its roster. If nil, the instance is always current.
	Current func() bool
	// Limit returns a workspace's rate in tokens a second and its burst in
	// tokens.
	Limit func(workspace identifier.WorkspaceName) (rate, burst float64)
	// Workspaces returns the names of all configured workspaces.
	Workspaces func() []identifier.WorkspaceName
	// Now returns the time of a monotonic clock. If nil, time.Now is used.
	Now func() time.Time

	generation   atomic.Uint64 // Number of calls of Reset.
	drainStarted atomic.Bool
	holdings     atomic.Pointer[map[identifier.WorkspaceName]*holding]
	shards       [ShardCount]shard
	transfers    transfers
	peers        peerCache

	mu       sync.Mutex // Guards the creation of holdings and the fields below.
	joined   bool
	joinedAt time.Time
	cancel   context.CancelFunc
	ctx      context.Context
	closed   bool
	done     chan struct{}
	tasks    sync.WaitGroup
}

// ErrClosed means that a method was called after [Sharer.Close].
var ErrClosed = errors.New("sharer is closed")

// Start runs the periodic work until [Sharer.Close]. It is not needed when
// SingleInstance is set.
func (s *Sharer) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.done != nil {
		return
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done = make(chan struct{})
	go s.run(s.ctx, s.done)
}

// Close stops the periodic work and all fetches, and waits for them to end.
// Waiting calls of Admit are refused.
func (s *Sharer) Close() {
	s.mu.Lock()
	s.closed = true
	cancel, done := s.cancel, s.done
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
	s.tasks.Wait()
	for _, h := range s.allHoldings() {
		h.stop()
	}
}

// Reset discards all shares. The owner calls it before each attempt to join the
// roster, so that an instance that was removed starts again with nothing.
func (s *Sharer) Reset() {
	s.mu.Lock()
	s.joined = false
	s.mu.Unlock()
	s.generation.Add(1)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.resetEpoch = max(sh.resetEpoch, sh.epoch)
		sh.epoch, sh.epochKnown, sh.sharesOnEntry = 0, false, nil
		for _, h := range s.allHoldings() {
			if h.shardIndex == i {
				h.bucket.Clear()
			}
		}
		sh.mu.Unlock()
	}
	s.transfers.clear(func(int) bool { return true })
}

// Joined is called after the instance's roster entry was written. No shares are
// requested before that: a leader reads the rosters after it has opened an
// epoch, so an instance that reads the ledger after it has joined is either
// asked to enter the epoch or finds it in the ledger.
func (s *Sharer) Joined() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.joinedAt = true, s.now()
}

// spawn runs a task that Close waits for. It reports false if the sharer is
// closed or was not started.
func (s *Sharer) spawn(task func(ctx context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.ctx == nil {
		return false
	}
	ctx := s.ctx
	s.tasks.Go(func() { task(ctx) })
	return true
}

func (s *Sharer) allHoldings() map[identifier.WorkspaceName]*holding {
	if m := s.holdings.Load(); m != nil {
		return *m
	}
	return nil
}

// holding returns the state of a workspace, which is created on first use.
func (s *Sharer) holding(workspace identifier.WorkspaceName) *holding {
	if h, ok := s.allHoldings()[workspace]; ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.allHoldings()
	if h, ok := old[workspace]; ok {
		return h
	}
	index := ShardOf(workspace)
	h := &holding{sharer: s, workspace: workspace, shardIndex: index, shard: &s.shards[index], created: s.now()}
	h.bucket.Now = s.Now
	if !s.SingleInstance {
		h.bucket.MaxRefillGap = maxRefillGap
	} else {
		h.bucket.Merge(s.limit(workspace), limiter.Share{Fraction: limiter.Whole})
	}
	next := make(map[identifier.WorkspaceName]*holding, len(old)+1)
	maps.Copy(next, old)
	next[workspace] = h
	s.holdings.Store(&next)
	return h
}

// LimitsChanged applies changed limits to all buckets. The owner calls it after
// each change of the configuration in force, so that no bucket is refilled for
// a time before the change at a rate that was not in force then.
func (s *Sharer) LimitsChanged() {
	for w, h := range s.allHoldings() {
		h.bucket.Held(s.limit(w))
	}
}

func (s *Sharer) limit(workspace identifier.WorkspaceName) limiter.Limit {
	rate, burst := s.Limit(workspace)
	return limiter.Limit{Rate: rate, Burst: burst}
}

func (s *Sharer) current() bool {
	return s.Current == nil || s.Current()
}

func (s *Sharer) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
