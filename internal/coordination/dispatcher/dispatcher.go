package dispatcher

import (
	"context"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// DefaultQueueLimit is the maximum number of statements of one workspace that
// wait for one backend server. Further ones are refused.
const DefaultQueueLimit = 64

// Dispatcher admits statements to backend servers. The zero value works with a
// budget of one connection for each backend server.
type Dispatcher struct {
	// MaxConnections returns how many connections all instances together may
	// hold to a backend server. Nil selects a budget of one for each instance.
	MaxConnections func(server identifier.BackendServerID) int
	// Slots returns how many statements a backend server runs concurrently. Nil
	// selects one for each instance.
	Slots func(server identifier.BackendServerID) int
	// Instances returns the number of live instances. Nil selects 1.
	Instances func() int
	// Now is a monotonic clock; nil selects time.Now.
	Now func() time.Time
	// QueueLimit replaces DefaultQueueLimit unless it is 0.
	QueueLimit int
	// Hooks receive measurements.
	Hooks Hooks

	mu     sync.Mutex
	queues map[identifier.BackendServerID]*queue
}

// Hooks are called for each statement: Waited when it starts, with the time in
// the queue; Served when it is released, with the time since its start; Refused
// when it is refused or cancelled. Nil members are skipped. Hooks must not call
// the dispatcher.
type Hooks struct {
	Waited  func(server identifier.BackendServerID, workspace identifier.WorkspaceName, d time.Duration)
	Served  func(server identifier.BackendServerID, workspace identifier.WorkspaceName, d time.Duration)
	Refused func(server identifier.BackendServerID, workspace identifier.WorkspaceName, reason Reason)
}

// Acquire waits until the workspace may have one more statement outstanding at
// the backend server. The caller must call release when the answer is complete;
// further calls do nothing. The weight is the workspace's relative share under
// contention; 0 counts as 1.
//
// It returns [ErrQueueFull] or [ErrDeadline], both wrapped in a [RefusalError]
// that carries a retry time, or the context's error if the context ends first.
func (d *Dispatcher) Acquire(ctx context.Context, server identifier.BackendServerID,
	workspace identifier.WorkspaceName, weight float64,
) (release func(), err error) {
	q := d.queue(server)
	s, err := q.admit(ctx, workspace, weight)
	if err != nil {
		return nil, err
	}
	if s.startSignal != nil {
		select {
		case <-s.startSignal:
		case <-ctx.Done():
			if q.cancel(s) {
				return nil, ctx.Err()
			}
		}
	}
	return s.release, nil
}

// ReportTooManyConnections reports that the backend server refused a connection
// with SQLSTATE 53300 (too many connections). The budget is then halved for a
// few seconds.
func (d *Dispatcher) ReportTooManyConnections(server identifier.BackendServerID) {
	q := d.queue(server)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.budget.recordRefusal(q.now())
}

// Budget returns the number of connections that this instance may hold to the
// backend server now.
func (d *Dispatcher) Budget(server identifier.BackendServerID) int {
	q := d.queue(server)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.currentBudget()
}

// Refresh applies a change of the list of live instances or of the configuration
// to every queue and starts waiting statements for which there is room. The
// owner must call it every second and after each change.
func (d *Dispatcher) Refresh() {
	d.mu.Lock()
	queues := make([]*queue, 0, len(d.queues))
	for _, q := range d.queues {
		queues = append(queues, q)
	}
	d.mu.Unlock()
	for _, q := range queues {
		q.mu.Lock()
		q.dispatch()
		q.mu.Unlock()
	}
}

func (d *Dispatcher) queue(server identifier.BackendServerID) *queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[server]
	if !ok {
		q = &queue{dispatcher: d, server: server, flows: map[identifier.WorkspaceName]*flow{}}
		if d.queues == nil {
			d.queues = map[identifier.BackendServerID]*queue{}
		}
		d.queues[server] = q
	}
	return q
}

func (d *Dispatcher) queueLimit() int {
	if d.QueueLimit > 0 {
		return d.QueueLimit
	}
	return DefaultQueueLimit
}

// connectionsPerInstance divides 90% of the server's connections between the
// live instances.
func (d *Dispatcher) connectionsPerInstance(server identifier.BackendServerID) int {
	if d.MaxConnections == nil {
		return 1
	}
	return max(1, int(float64(d.MaxConnections(server))*0.9/float64(d.instanceCount())))
}

// slotsPerInstance returns this instance's part of the server's slots, which may
// be below 1.
func (d *Dispatcher) slotsPerInstance(server identifier.BackendServerID) float64 {
	if d.Slots == nil {
		return 1
	}
	return float64(max(1, d.Slots(server))) / float64(d.instanceCount())
}

func (d *Dispatcher) instanceCount() int {
	if d.Instances == nil {
		return 1
	}
	return max(1, d.Instances())
}
