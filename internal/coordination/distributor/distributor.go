package distributor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Validity is C of docs/design.md 5.6: how long an instance may serve after it
// sent the request whose answer confirmed its head. Every instance must use the
// same value.
const Validity = 3 * time.Second

// Timing of the protocol. The values are not settings, because instances with
// different values would break the acceptance rule.
const (
	acceptanceWait       = Validity * 101 / 100 // Validity plus 1% for the drift between two clocks.
	proposalTimeout      = 8 * time.Second
	abandonedProposalAge = 10 * time.Second // Exceeds proposalTimeout, so that a live proposer settles its own proposal.
	readInterval         = time.Second
	pollInterval         = 250 * time.Millisecond
	maxRelayReadAge      = readInterval + pollInterval // The last read of a relay is up to readInterval old.
	majorityRoundMargin  = 1200 * time.Millisecond     // Covers one pollInterval, two unresponsive relays and a majority round.
	confirmTimeout       = 300 * time.Millisecond
	pushTimeout          = 500 * time.Millisecond
	recordTimeout        = time.Second
)

// ErrNotCurrent reports that the instance cannot prove that its configuration
// is in effect. A statement refused with it has not run and may be repeated.
var ErrNotCurrent = errors.New("configuration is not known to be current")

// Distributor keeps the configuration of one instance current and carries out
// proposals. Set the exported fields before Start; Close stops it.
type Distributor struct {
	Instance   identifier.InstanceID
	DataCentre identifier.DataCentre
	Platform   Platform
	// Request sends a message to a peer and returns the body of the answer.
	Request func(ctx context.Context, peer identifier.InstanceID, body any) (any, error)
	// Joining is called before each attempt to join the roster, and Joined once
	// a read of the platform shows this instance as a member. Both may be nil.
	Joining func()
	Joined  func()
	Now     func() time.Time // Monotonic; time.Now when nil.
	Logger  zerolog.Logger

	published  atomic.Pointer[publishedView]
	fetchGroup singleflight.Group
	records    recordCache
	deltas     deltaCache
	disabled   mechanisms

	mu      sync.Mutex
	held    heldState
	changed chan struct{} // Closed and replaced whenever held changes.

	done        chan struct{}
	lifetime    context.Context // Ends with Close; nil before Start.
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	pushTrigger chan struct{}
}

// publishedView pairs a view with its own deadline. [Distributor.Current] loads
// both atomically, so that a view is never combined with the deadline of
// another one.
type publishedView struct {
	view       configurer.View
	validUntil time.Time
}

// mechanisms selects mechanisms that tests disable to show that each of them is
// needed.
type mechanisms struct {
	deadline, majority, joint, attempt, monotone, previous bool
}

// Start starts the tasks that follow the configuration. The instance joins its
// roster and is ready once [Distributor.Current] returns a view.
func (d *Distributor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	d.initLocked()
	d.lifetime, d.cancel = ctx, cancel
	d.mu.Unlock()
	for _, task := range []func(context.Context){d.readLoop, d.renewLoop, d.joinLoop, d.watchLoop, d.pushLoop, d.removeDeadLoop} {
		d.tasks.Add(1)
		go func() {
			defer d.tasks.Done()
			task(ctx)
		}()
	}
}

// Close stops all tasks without leaving the roster; see [Distributor.Leave].
func (d *Distributor) Close() {
	d.mu.Lock()
	d.initLocked()
	if cancel := d.cancel; cancel != nil {
		cancel()
		d.cancel = nil
		close(d.done)
	}
	d.held.stopped = true
	d.publishView()
	d.mu.Unlock()
	d.tasks.Wait()
}

// Current returns the configuration to enforce: one version, or the accepted
// and the proposed version together. It returns [ErrNotCurrent] when the
// instance may not serve.
func (d *Distributor) Current() (configurer.View, error) {
	c := d.published.Load()
	if c == nil || !d.now().Before(c.validUntil) && !d.disabled.deadline {
		return configurer.View{}, ErrNotCurrent
	}
	return c.view, nil
}

// Status describes for operators which configuration and roster an instance
// holds.
type Status struct {
	Instance   identifier.InstanceID    `json:"instance"`
	DataCentre identifier.DataCentre    `json:"data_centre"`
	Current    bool                     `json:"current"`
	Joined     bool                     `json:"joined"`
	Relay      bool                     `json:"relay"`
	Version    identifier.ConfigVersion `json:"version"`
	Proposed   identifier.ConfigVersion `json:"proposed,omitempty"`
	Revision   uint64                   `json:"revision"`
	Roster     []identifier.InstanceID  `json:"roster"`
}

// Status returns the present status of the instance.
func (d *Distributor) Status() Status {
	_, err := d.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{
		Instance: d.Instance, DataCentre: d.DataCentre, Current: err == nil, Joined: d.held.joined, Relay: d.isRelay(),
		Version: d.held.head.Accepted.Version, Revision: d.held.head.Revision, Roster: d.held.roster.Members,
	}
	if p := d.held.head.Proposal; p != nil {
		s.Proposed = p.Ref.Version
	}
	return s
}

// Changes returns a channel that is closed when [Distributor.Current] returns
// another view, or returns a view again after an error. The expiry of the
// validity does not close it.
func (d *Distributor) Changes() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initLocked()
	return d.changed
}

// Relays returns the instances that read the platform for this data centre, in
// the order in which this instance sends requests to them. It is empty before
// this instance has joined its roster.
func (d *Distributor) Relays() []identifier.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held.joined {
		return nil
	}
	return d.orderedRelays()
}

func (d *Distributor) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// initLocked initialises the channels, so that the zero value is usable. The
// caller holds mu.
func (d *Distributor) initLocked() {
	if d.done == nil {
		d.done = make(chan struct{})
		d.pushTrigger = make(chan struct{}, 1)
		d.changed = make(chan struct{})
	}
}

// runPeriodically runs a step immediately and then once per interval until the
// context ends.
func runPeriodically(ctx context.Context, interval time.Duration, step func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// sleepContext waits and reports whether the wait elapsed before the context
// ended.
func sleepContext(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
