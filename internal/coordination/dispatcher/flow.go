package dispatcher

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// flow is the queueing state of one workspace at one backend server.
type flow struct {
	workspace     identifier.WorkspaceName
	weight        float64
	startTag      float64 // Start tag of the first waiting statement.
	virtualAtHead float64 // Virtual time when that statement became the first.
	finishTag     float64 // Finish tag of the last statement started.
	meanService   time.Duration
	demand        demand
	heavy         bool // Demands several times its fair rate, so its starts are paced.
	outstanding   int
	waiting       []*statement
	heapIndex     int // Position in the heap.
}

// statement is a waiting or outstanding statement of a flow.
type statement struct {
	flow        *flow
	queue       *queue
	arrivedAt   time.Time
	startedAt   time.Time
	estimated   time.Duration // Service time that was charged at the start.
	startSignal chan struct{} // Closed at the start; nil if it started at once.
	started     bool
	finished    bool
}

func (s *statement) release() {
	s.queue.complete(s)
}

// setStartTag sets the start tag of the statement that is now the first waiting.
func (f *flow) setStartTag(virtual float64) {
	f.virtualAtHead = virtual
	f.startTag = max(virtual, f.finishTag)
}

// chargeEstimate charges the flow the estimated service time of a statement that
// starts.
func (f *flow) chargeEstimate(s *statement, tag float64) {
	s.estimated = f.estimatedService()
	f.finishTag = tag + s.estimated.Seconds()/f.weight
	f.outstanding++
}

// chargeActual replaces the estimated service time of a finished statement by
// the measured one.
func (f *flow) chargeActual(s *statement, took time.Duration) {
	f.outstanding--
	f.finishTag += (took - s.estimated).Seconds() / f.weight
	f.startTag = max(f.virtualAtHead, f.finishTag)
	f.meanService = movingAverage(f.meanService, took)
}

// estimatedService is the service time expected of the flow's next statement: the
// mean so far, but at least a millisecond, which is also the estimate for a flow
// without history.
func (f *flow) estimatedService() time.Duration {
	return max(f.meanService, time.Millisecond)
}

// movingAverage adds a sample with weight 1/8 to an exponential moving average
// that starts with its first sample.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// flowHeap orders flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
