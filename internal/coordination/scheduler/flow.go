package scheduler

import (
	"container/heap"
	"time"
)

const (
	// initialService is the service time that is assumed before one was
	// observed.
	initialService = time.Millisecond
	// serviceSamples is the number of statements over which a service time is
	// averaged.
	serviceSamples = 8
	// maxLead bounds the service, for a weight of 1, that a flow can owe to the
	// others of its priority. Without it, a workspace whose statements timed out
	// would be locked out for as long as they ran.
	maxLead = 500 * time.Millisecond
)

// flow holds the statements of a workspace in one class, and the service that
// they have received.
type flow struct {
	class   *class
	account *account
	waiting [kindCount]indexedHeap[*Statement]
	index   [kindCount]int // Positions in the heaps of the class.

	startTag  float64 // Virtual start time of the next statement, in seconds of service.
	minTag    float64 // Virtual time of the class when the flow began to wait.
	finishTag float64 // Virtual finish time of the last started statement.
	order     uint64  // Order among flows with the same start tag.

	mean      time.Duration // Service time.
	deviation time.Duration // Mean deviation of the service time.
}

// length returns the number of waiting statements.
func (f *flow) length() int {
	n := 0
	for _, h := range f.waiting {
		n += len(h)
	}
	return n
}

// service returns the expected service time of a statement.
func (f *flow) service() time.Duration {
	if f.mean > 0 {
		return f.mean
	}
	return max(f.class.queue.service, initialService)
}

// likelyService returns the service time that most statements do not exceed.
func (f *flow) likelyService() time.Duration {
	return f.service() + 2*f.deviation
}

// observe adds a service time to the average.
func (f *flow) observe(took time.Duration) {
	if f.mean == 0 {
		f.mean, f.deviation = took, 0
		return
	}
	f.deviation += ((took - f.mean).Abs() - f.deviation) / serviceSamples
	f.mean += (took - f.mean) / serviceSamples
}

// push adds a statement.
func (f *flow) push(s *Statement) {
	if f.length() == 0 {
		f.minTag = f.class.virtual
		f.startTag = max(f.minTag, f.finishTag)
		f.order = s.sequence
		f.class.weight += f.account.weight
	}
	k := s.kind()
	heap.Push(&f.waiting[k], s)
	if len(f.waiting[k]) == 1 {
		heap.Push(&f.class.flows[k], f)
	}
}

// remove removes a waiting statement.
func (f *flow) remove(s *Statement) {
	k := s.kind()
	heap.Remove(&f.waiting[k], s.index)
	if len(f.waiting[k]) == 0 {
		heap.Remove(&f.class.flows[k], f.index[k])
	}
	if f.length() == 0 {
		f.class.weight -= f.account.weight
	}
}

// next returns the statement of a kind that is to be started next. It first moves
// the statements that can no longer meet their target behind the others.
func (f *flow) next(k kind, now time.Time) *Statement {
	h := &f.waiting[k]
	answered := now.Add(f.likelyService())
	for {
		s := (*h)[0]
		if s.late || !answered.After(s.target()) {
			return s
		}
		s.late = true
		heap.Fix(h, 0)
	}
}

// latest returns the waiting statement that arrived last.
func (f *flow) latest() *Statement {
	var found *Statement
	for _, h := range f.waiting {
		for _, s := range h {
			if found == nil || s.sequence > found.sequence {
				found = s
			}
		}
	}
	return found
}

// charge charges the flow the expected service time of a statement that starts.
func (f *flow) charge(s *Statement, sequence uint64) {
	s.charged = f.service()
	f.finishTag = f.startTag + s.charged.Seconds()/f.account.weight
	f.order = sequence
	f.retag()
}

// correct replaces the expected service time of a finished statement by the
// actual one.
func (f *flow) correct(s *Statement, took time.Duration) {
	f.finishTag += (took - s.charged).Seconds() / f.account.weight
	f.finishTag = min(f.finishTag, f.class.virtual+maxLead.Seconds()/f.account.weight)
	f.retag()
}

// retag derives the start tag from the finish tag.
func (f *flow) retag() {
	f.startTag = max(f.minTag, f.finishTag)
	f.class.finished = max(f.class.finished, f.finishTag)
	for k, h := range f.waiting {
		if len(h) > 0 {
			heap.Fix(&f.class.flows[k], f.index[k])
		}
	}
}

// isIdle reports whether the flow can be forgotten: it has no statements and owes
// no service.
func (f *flow) isIdle() bool {
	return f.length() == 0 && f.finishTag <= f.class.virtual
}

// flowHeap orders the flows of a class that have waiting statements of a kind. It
// implements heap.Interface.
type flowHeap struct {
	kind kind
	all  []*flow
}

func (h *flowHeap) Len() int { return len(h.all) }

func (h *flowHeap) Less(i, j int) bool { return h.all[i].isBefore(h.all[j]) }

func (f *flow) isBefore(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.order < other.order
}

func (h *flowHeap) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	h.all[i].index[h.kind], h.all[j].index[h.kind] = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.kind] = len(h.all)
	h.all = append(h.all, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	f := h.all[len(h.all)-1]
	h.all[len(h.all)-1] = nil
	h.all = h.all[:len(h.all)-1]
	return f
}
