package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// DefaultLimit is the number of statements that may wait in a queue: four for
	// each slot of the largest window of a backend server.
	DefaultLimit = 64
	// minSweep is the number of workspaces below which idle ones are kept.
	minSweep = 64
)

// Queue holds the statements that wait for one backend server. The zero value is
// ready to use. It must not be used concurrently.
type Queue struct {
	// Limit is the number of statements that may wait. 0 means [DefaultLimit].
	Limit int
	// Weight returns the weight of a workspace, more than 0. It is called when the
	// workspace is first seen. If it is nil, all workspaces have the same weight.
	Weight func(w identifier.WorkspaceName) float64

	accounts map[identifier.WorkspaceName]*account
	backlog  indexedHeap[*account] // With waiting statements.
	classes  []*class              // The most urgent first.
	exempt   []*Statement          // Queries of the proxy itself, in order of arrival.
	waiting  [kindCount]int        // Without the exempt ones.
	sequence uint64
	retryAt  time.Time // Earliest time to come back for the next workspace of which a statement is refused.
	rates    [kindCount]rate
	service  time.Duration // Average service time.
	total    time.Duration // Service of all classes.
	sweepAt  int           // Number of accounts at which idle ones are forgotten.
}

// Len returns the number of waiting statements.
func (q *Queue) Len() int {
	return q.length() + len(q.exempt)
}

// HasNext reports whether [Queue.Next] would return a statement.
func (q *Queue) HasNext(slot bool) bool {
	return len(q.exempt) > 0 || q.waiting[slotless] > 0 || (slot && q.waiting[slotted] > 0)
}

// length returns the number of waiting statements without the exempt ones.
func (q *Queue) length() int {
	return q.waiting[slotted] + q.waiting[slotless]
}

// Add adds a statement. It returns a [*RefusalError] if the statement is refused. If
// another statement has to leave the full queue instead, it returns that one with
// its refusal.
func (q *Queue) Add(s *Statement, now time.Time) (shed *Statement, shedRefusal, refusal error) {
	q.sequence++
	s.sequence = q.sequence
	if s.Exempt {
		s.waiting = true
		q.exempt = append(q.exempt, s)
		return nil, nil, nil
	}
	a := q.account(s.Workspace, now)
	f := q.flow(a, s.Priority)
	s.flow = f
	if cause := q.refusalCause(f, s, now); cause != nil {
		return nil, nil, q.refuse(s, cause, now)
	}
	if q.length() >= q.limit() {
		if shed = q.shedFor(a, s); shed == nil {
			return nil, nil, q.refuse(s, ErrFull, now)
		}
		shedRefusal = q.refuse(shed, ErrFull, now)
		q.Remove(shed)
	}
	q.push(s, now)
	return shed, shedRefusal, nil
}

// Next removes and returns the statement that starts next, or nil if none may
// start. If slot is false, only statements that need no slot may. With the
// statement, Next returns a [*RefusalError] if its deadline has passed; the statement
// is then not started, and the caller may call Next again.
func (q *Queue) Next(slot bool, now time.Time) (*Statement, error) {
	if len(q.exempt) > 0 {
		s := q.exempt[0]
		q.Remove(s)
		return s, nil
	}
	c, f, k, due := q.choose(slot)
	if f == nil {
		return nil, nil
	}
	s := f.next(k, now)
	if !now.Before(s.Deadline) {
		q.Remove(s)
		return s, q.refuse(s, ErrExpired, now)
	}
	for _, other := range q.classes {
		if other.length() > 0 {
			other.observe(other == c)
		}
	}
	q.rates[k].record(now)
	q.Remove(s)
	q.start(s, due, now)
	return s, nil
}

// Remove removes a statement that waits, for instance because its client has
// disconnected. It reports whether the statement was waiting.
func (q *Queue) Remove(s *Statement) bool {
	if !s.waiting {
		return false
	}
	s.waiting = false
	if s.Exempt {
		i := slices.Index(q.exempt, s)
		q.exempt = slices.Delete(q.exempt, i, i+1)
		return true
	}
	f := s.flow
	f.remove(s)
	f.class.waiting[s.kind()]--
	q.waiting[s.kind()]--
	f.account.waiting--
	if f.account.waiting == 0 {
		heap.Remove(&q.backlog, f.account.index)
	} else {
		f.account.updateLowest()
		heap.Fix(&q.backlog, f.account.index)
	}
	return true
}

// Expire removes a statement whose deadline has passed, if it still waits, and
// returns its refusal.
func (q *Queue) Expire(s *Statement, now time.Time) error {
	q.Remove(s)
	if s.Exempt {
		return &RefusalError{Cause: ErrExpired, RetryAfter: unknownInterval}
	}
	return q.refuse(s, ErrExpired, now)
}

// Finish accounts for the service time of a started statement. A statement
// without a slot is charged the expected time only, because its client may pause
// in between.
func (q *Queue) Finish(s *Statement, now time.Time) {
	if s.Slotless || !s.isStarted() {
		return
	}
	took := now.Sub(s.startedAt)
	q.settle(s, took)
	s.flow.observe(took)
	if q.service == 0 {
		q.service = took
	}
	q.service += (took - q.service) / serviceSamples
}

// Cancel takes back what a started statement was charged, because it did not run.
// It says nothing about the service times.
func (q *Queue) Cancel(s *Statement) {
	if s.isStarted() {
		q.settle(s, 0)
	}
}

// settle replaces what a started statement was charged by the time that it took.
func (q *Queue) settle(s *Statement, took time.Duration) {
	s.startedAt = time.Time{}
	q.total += took - s.charged
	s.flow.class.served += took - s.charged
	s.flow.correct(s, took)
}

// refusalCause returns why a statement may not wait, or nil.
func (q *Queue) refusalCause(f *flow, s *Statement, now time.Time) error {
	// If all were refused while none waits, the rate would not be observed.
	if q.waiting[s.kind()] > 0 {
		wait := q.expectedWait(f, s.kind(), now)
		if now.Add(wait + f.likelyService()).After(s.target()) {
			wait *= 2 // Behind those that arrive meanwhile and can meet their target.
		}
		if now.Add(wait).After(s.Deadline) {
			return ErrDeadline
		}
	}
	a := f.account
	if a.waiting >= max(1, q.limit()/2) && q.length() > a.waiting {
		return ErrOverShare
	}
	return nil
}

// expectedWait estimates the time until one more statement of the flow and kind
// would start, 0 if the rate is not known.
func (q *Queue) expectedWait(f *flow, k kind, now time.Time) time.Duration {
	interval := q.rates[k].interval(now)
	if interval == 0 {
		return 0
	}
	c := f.class
	// The flow's own statements, and for each of them, and for the service that
	// the flow owes, one of every other flow.
	own := float64(len(f.waiting[k]) + 1)
	owed := max(0, f.finishTag-c.virtual) * f.account.weight / f.service().Seconds()
	others := c.weight / f.account.weight
	if f.length() > 0 {
		others--
	}
	position := min(own+(own+owed)*others, float64(c.waiting[k]+1))
	urgent := 0
	for _, other := range q.classes {
		if other.priority < c.priority {
			urgent += other.waiting[k]
		}
	}
	wait := position + float64(urgent)
	if c.waiting[k] > 0 && c.share > 0 {
		wait = max(wait, position/c.share)
	}
	return time.Duration(min(wait, position/minShare) * float64(interval))
}

// shedFor returns the statement that leaves the full queue for one of the
// account, or nil if that one has to be refused. The workspace with the most
// waiting statements for its weight loses its latest one. A more urgent statement
// replaces a less urgent one of a workspace with equally many, or of its own.
func (q *Queue) shedFor(a *account, s *Statement) *Statement {
	most := q.backlog[0]
	switch {
	case most.excess(0) > a.excess(1):
		return most.shedCandidate()
	case most != a && most.excess(0) == a.excess(1) && most.lowest > s.Priority:
		return most.shedCandidate()
	case a.waiting > 0 && a.lowest > s.Priority:
		return a.shedCandidate()
	default:
		return nil
	}
}

// push adds an accepted statement.
func (q *Queue) push(s *Statement, now time.Time) {
	f := s.flow
	c, a := f.class, f.account
	k := s.kind()
	if q.waiting[k] == 0 {
		q.rates[k].begin(now)
	}
	if c.length() == 0 {
		c.begin(now)
	}
	f.push(s)
	s.waiting = true
	c.waiting[k]++
	q.waiting[k]++
	a.waiting++
	a.updateLowest()
	if a.waiting == 1 {
		heap.Push(&q.backlog, a)
	} else {
		heap.Fix(&q.backlog, a.index)
	}
}

// choose returns the class, the flow and the kind of the statement that starts
// next, and whether the class is served because of its minimum share. The flow is
// nil if no statement may start.
func (q *Queue) choose(slot bool) (found *class, next *flow, k kind, due bool) {
	for _, c := range q.classes {
		f, fk := c.first(slot)
		if f == nil {
			continue
		}
		if next == nil {
			found, next, k = c, f, fk
			continue
		}
		if c.isDue(f.service()) {
			return c, f, fk, true
		}
	}
	return found, next, k, false
}

// start charges a statement that starts to its flow and class.
func (q *Queue) start(s *Statement, due bool, now time.Time) {
	f := s.flow
	c := f.class
	c.virtual = max(c.virtual, f.startTag)
	q.sequence++
	f.charge(s, q.sequence)
	s.startedAt = now
	c.startedAt = now
	q.total += s.charged
	c.served += s.charged
	if !due {
		c.restart()
	}
}

// limit returns the number of statements that may wait.
func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

// account returns the account of a workspace, a new one if there is none.
func (q *Queue) account(w identifier.WorkspaceName, now time.Time) *account {
	if a, ok := q.accounts[w]; ok {
		return a
	}
	if q.accounts == nil {
		q.accounts = map[identifier.WorkspaceName]*account{}
	}
	q.sweep(now)
	a := &account{workspace: w, weight: 1}
	if q.Weight != nil {
		a.weight = q.Weight(w)
	}
	q.accounts[w] = a
	return a
}

// sweep forgets idle workspaces whenever the number of workspaces has doubled.
func (q *Queue) sweep(now time.Time) {
	if len(q.accounts) < max(q.sweepAt, minSweep) {
		return
	}
	for w, a := range q.accounts {
		if a.isIdle(now) {
			delete(q.accounts, w)
		}
	}
	q.sweepAt = 2 * len(q.accounts)
}

// flow returns the flow of a workspace in the class of a priority, a new one if
// there is none.
func (q *Queue) flow(a *account, priority int) *flow {
	for _, f := range a.flows {
		if f.class.priority == priority {
			return f
		}
	}
	f := &flow{class: q.class(priority), account: a}
	a.flows = append(a.flows, f)
	return f
}

// class returns the class of a priority, a new one if there is none.
func (q *Queue) class(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		c := &class{queue: q, priority: priority}
		for k := range c.flows {
			c.flows[k].kind = kind(k)
		}
		q.classes = slices.Insert(q.classes, i, c)
	}
	return q.classes[i]
}
