package dispatcher

import (
	"container/heap"
	"context"
	"math"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// maxPaceInterval bounds the time between two paced starts.
	maxPaceInterval = time.Second
	// negligibleDemand is the demand below which an idle flow is removed.
	negligibleDemand = 1e-4
)

// queue is the weighted fair queue in front of one backend server.
type queue struct {
	dispatcher *Dispatcher
	server     identifier.BackendServerID

	mu             sync.Mutex
	flows          map[identifier.WorkspaceName]*flow
	backlog        flowHeap // Flows with waiting statements.
	virtualTime    float64  // Highest start tag of a statement that was started.
	waiting        int
	outstanding    int
	meanService    time.Duration // Over all workspaces.
	budget         budget
	window         window
	allocation     allocation
	nextPacedStart time.Time   // Earliest next start of a paced statement.
	paceTimer      *time.Timer // Calls dispatch at nextPacedStart.
}

func (q *queue) now() time.Time {
	if q.dispatcher.Now == nil {
		return time.Now()
	}
	return q.dispatcher.Now()
}

// admit starts the statement at once, queues it, or refuses it.
func (q *queue) admit(ctx context.Context, workspace identifier.WorkspaceName, weight float64) (*statement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(workspace, weight)
	s := &statement{flow: f, arrivedAt: q.now()}
	f.demand.add(f.estimatedService(), s.arrivedAt)
	if len(f.waiting) == 0 && q.mayStart(f, s.arrivedAt) {
		q.start(s, max(q.virtualTime, f.finishTag))
		return s, nil
	}
	wait := q.expectedWait(f)
	if len(f.waiting) >= q.dispatcher.queueLimit() {
		q.removeIfIdle(f)
		return nil, q.refuse(f, ErrQueueFull, ReasonQueueFull, wait)
	}
	if deadline, ok := ctx.Deadline(); ok && s.arrivedAt.Add(wait+f.estimatedService()).After(deadline) {
		q.removeIfIdle(f)
		return nil, q.refuse(f, ErrDeadline, ReasonDeadline, wait)
	}
	s.startSignal = make(chan struct{})
	q.enqueue(s)
	q.dispatch()
	return s, nil
}

// cancel removes a waiting statement whose context has ended. It returns false if
// the statement has been started in the meantime.
func (q *queue) cancel(s *statement) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.started {
		return false
	}
	f := s.flow
	for i, other := range f.waiting {
		if other == s {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			q.waiting--
			break
		}
	}
	if len(f.waiting) == 0 {
		heap.Remove(&q.backlog, f.heapIndex)
		q.removeIfIdle(f)
	}
	if hook := q.dispatcher.Hooks.Refused; hook != nil {
		hook(q.server, f.workspace, ReasonCancelled)
	}
	return true
}

// complete accounts for a finished statement and starts as many waiting
// statements as there is room for.
func (q *queue) complete(s *statement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.finished {
		return
	}
	s.finished = true
	now := q.now()
	took := now.Sub(s.startedAt)
	q.window.observe(took, q.waiting > 0, q.slotShare(), q.currentBudget(), now)
	q.outstanding--
	q.meanService = movingAverage(q.meanService, took)
	s.flow.chargeActual(s, took)
	if len(s.flow.waiting) > 0 {
		heap.Fix(&q.backlog, s.flow.heapIndex)
	}
	if hook := q.dispatcher.Hooks.Served; hook != nil {
		hook(q.server, s.flow.workspace, took)
	}
	q.dispatch()
	q.removeIfIdle(s.flow)
}

// dispatch starts waiting statements in the order of their flows' start tags
// while there is room.
func (q *queue) dispatch() {
	for q.waiting > 0 {
		now := q.now()
		f := q.nextFlow(now)
		if f == nil {
			q.scheduleDispatch(now)
			return
		}
		s := f.waiting[0]
		f.waiting = f.waiting[1:]
		q.waiting--
		q.start(s, f.startTag)
		if len(f.waiting) == 0 {
			heap.Remove(&q.backlog, f.heapIndex)
			continue
		}
		f.setStartTag(q.virtualTime)
		heap.Fix(&q.backlog, f.heapIndex)
	}
}

// start counts the statement as outstanding, charges its flow and wakes its
// caller if that waits.
func (q *queue) start(s *statement, tag float64) {
	q.virtualTime = max(q.virtualTime, tag)
	s.flow.chargeEstimate(s, tag)
	now := q.now()
	if !q.isLight(s.flow, now) {
		q.nextPacedStart = now.Add(min(time.Duration(s.estimated.Seconds()/q.allocation.heavyRate*1e9), maxPaceInterval))
	}
	q.outstanding++
	s.started, s.startedAt, s.queue = true, now, q
	if hook := q.dispatcher.Hooks.Waited; hook != nil {
		hook(q.server, s.flow.workspace, s.startedAt.Sub(s.arrivedAt))
	}
	if s.startSignal != nil {
		close(s.startSignal)
	}
}

// enqueue appends the statement to its flow's waiting ones.
func (q *queue) enqueue(s *statement) {
	f := s.flow
	f.waiting = append(f.waiting, s)
	q.waiting++
	if len(f.waiting) == 1 {
		f.setStartTag(q.virtualTime)
		heap.Push(&q.backlog, f)
	}
}

// expectedWait estimates the time until one more statement of the flow would
// start. For each of the flow's own statements up to and including that one, it
// counts one service time for the flow and one for every other flow in the
// backlog, the latter in proportion to the weights.
func (q *queue) expectedWait(f *flow) time.Duration {
	weights := 0.0
	for _, other := range q.backlog {
		if other != f {
			weights += other.weight
		}
	}
	serviceTimes := min(float64(len(f.waiting)+1)*(1+weights/f.weight), float64(q.waiting+1))
	size := min(q.window.currentSize(q.slotShare()), float64(q.currentBudget()))
	return time.Duration(serviceTimes * float64(q.meanService) / size)
}

// refuse reports the refusal to the hook and returns its error.
func (q *queue) refuse(f *flow, err error, reason Reason, wait time.Duration) error {
	if hook := q.dispatcher.Hooks.Refused; hook != nil {
		hook(q.server, f.workspace, reason)
	}
	return &RefusalError{Err: err, RetryAfter: max(wait, time.Millisecond)}
}

// mayStart reports whether a statement of the flow may start now. A flow that is
// not heavy may while connections are free and its own statements fit in the
// window. Every other start keeps to the pace and to the window and leaves one
// connection free.
func (q *queue) mayStart(f *flow, now time.Time) bool {
	budget := q.currentBudget()
	if q.outstanding >= budget {
		return false
	}
	size := q.window.currentSize(q.slotShare())
	if q.isLight(f, now) && f.outstanding < max(1, int(size)) {
		return true
	}
	return q.outstanding < max(1, min(budget-1, int(math.Ceil(size)))) && !now.Before(q.nextPacedStart)
}

// isLight reports whether the flow is not heavy, so that its starts are not
// paced. It first updates an outdated allocation.
func (q *queue) isLight(f *flow, now time.Time) bool {
	if now.Sub(q.allocation.computedAt) > allocationPeriod {
		flows := make([]*flow, 0, len(q.flows))
		for _, f := range q.flows {
			flows = append(flows, f)
		}
		q.allocation.compute(flows, q.window.currentSize(q.slotShare()), now)
	}
	return !f.heavy
}

// nextFlow returns the flow whose first waiting statement is to be started: the
// one with the smallest start tag among those that may start now, or nil if none
// may.
func (q *queue) nextFlow(now time.Time) *flow {
	if f := q.backlog[0]; q.mayStart(f, now) {
		return f
	}
	var best *flow
	for _, f := range q.backlog[1:] {
		if (best == nil || f.startTag < best.startTag) && q.mayStart(f, now) {
			best = f
		}
	}
	return best
}

// scheduleDispatch calls dispatch when the pace allows the next start. It does
// nothing if the pace already allows it: then the waiting statements lack room,
// and the next release dispatches them.
func (q *queue) scheduleDispatch(now time.Time) {
	wait := q.nextPacedStart.Sub(now)
	if wait <= 0 {
		return
	}
	if q.paceTimer == nil {
		q.paceTimer = time.AfterFunc(wait, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.dispatch()
		})
		return
	}
	q.paceTimer.Reset(wait)
}

// slotShare returns this instance's part of the server's slots, at most its
// budget.
func (q *queue) slotShare() float64 {
	return min(q.dispatcher.slotsPerInstance(q.server), float64(q.currentBudget()))
}

func (q *queue) currentBudget() int {
	return q.budget.update(q.dispatcher.connectionsPerInstance(q.server), q.now())
}

// flow returns the workspace's flow, created if necessary, with the given weight.
func (q *queue) flow(workspace identifier.WorkspaceName, weight float64) *flow {
	f, ok := q.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace}
		q.flows[workspace] = f
	}
	f.weight = weight
	if !(weight > 0) {
		f.weight = 1
	}
	return f
}

// removeIfIdle removes a flow that has no statements and whose demand is
// negligible.
func (q *queue) removeIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.outstanding == 0 && f.demand.now(q.now()) < negligibleDemand {
		delete(q.flows, f.workspace)
	}
}
