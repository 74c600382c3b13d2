package scheduler

import "time"

const (
	// minShare is the part of the service that a less urgent class gets at least
	// while it has waiting statements.
	minShare = 0.1
	// shareSamples is the number of dispatches over which the share of a class is
	// averaged.
	shareSamples = 16
)

// class holds the flows of one priority.
type class struct {
	queue    *Queue
	priority int
	flows    [kindCount]flowHeap // Flows with waiting statements of a kind.
	virtual  float64             // Highest start tag of a started statement.
	finished float64             // Highest finish tag.
	waiting  [kindCount]int
	weight   float64 // Sum over the flows with waiting statements.

	// Service of the class and of the queue at the time since which the minimum
	// share counts: when the class began to wait, or was served because no more
	// urgent one waited.
	served, servedBefore, totalBefore time.Duration

	startedAt time.Time // When the last statement started.

	share float64 // Part of the dispatches that the class got while it waited.
}

// length returns the number of waiting statements.
func (c *class) length() int {
	return c.waiting[slotted] + c.waiting[slotless]
}

// begin prepares the class for its first waiting statement. After a time without
// any, what the flows owe to each other is forgotten.
func (c *class) begin(now time.Time) {
	if now.Sub(c.startedAt) > rateMemory {
		c.virtual = max(c.virtual, c.finished)
	}
	c.restart()
	c.share = 1
}

// restart lets the minimum share count from now on.
func (c *class) restart() {
	c.servedBefore, c.totalBefore = c.served, c.queue.total
}

// isDue reports whether the class has received less than its minimum share.
func (c *class) isDue(next time.Duration) bool {
	entitled := minShare * float64(c.queue.total-c.totalBefore)
	return entitled >= float64(c.served-c.servedBefore+next)
}

// first returns the flow that is served next and the kind of its statement. The
// flow is nil if no statement may start.
func (c *class) first(slot bool) (*flow, kind) {
	var found *flow
	var k kind
	for i := range c.flows {
		if len(c.flows[i].all) == 0 || (kind(i) == slotted && !slot) {
			continue
		}
		if f := c.flows[i].all[0]; found == nil || f.isBefore(found) {
			found, k = f, kind(i)
		}
	}
	return found, k
}

// observe adds a dispatch to the average share.
func (c *class) observe(chosen bool) {
	hit := 0.0
	if chosen {
		hit = 1
	}
	c.share += (hit - c.share) / shareSamples
}
