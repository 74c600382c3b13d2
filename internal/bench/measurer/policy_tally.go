package measurer

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	overRateState = "53400"
	// lateAfter is the latency, from the scheduled arrival to the response, above
	// which a statement does not count as goodput.
	lateAfter = time.Second
)

// outcome is the result of one scheduled statement.
type outcome struct {
	workspace identifier.WorkspaceName
	arrival   time.Time // As scheduled, so the latency includes the time that it waited for its session.
	end       time.Time
	state     string // SQLSTATE, lostConnectionState or givenUpState; empty on success.
	violation bool
}

// tally holds the outcomes of one phase, and the acknowledged writes of each
// service.
type tally struct {
	mu              sync.Mutex
	outcomes        []outcome
	violationsAfter int // Violations between this phase and the next one.
	writes          map[identifier.ServiceName][]time.Time
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
}

// addWrite records the time of an acknowledged write.
func (t *tally) addWrite(s identifier.ServiceName, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writes == nil {
		t.writes = map[identifier.ServiceName][]time.Time{}
	}
	t.writes[s] = append(t.writes[s], at)
}

// workspaceResult summarizes the outcomes of one workspace.
type workspaceResult struct {
	Offered, Good, Refused int
	WithinRate             bool // The arrivals conform to its rate and burst.
	P99                    time.Duration
	LastRefused            time.Time
	Failures               map[string]int // Number of failures by outcome.state.
}

// goodput returns the fraction of the offered statements that succeeded within
// lateAfter.
func (s workspaceResult) goodput() float64 { return ratio(float64(s.Good), float64(s.Offered)) }

// summary aggregates the outcomes by workspace and counts the violations.
func (t *tally) summary(limits map[identifier.WorkspaceName]limiter.Limit) (byWorkspace map[identifier.WorkspaceName]*workspaceResult, violations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	violations = t.violationsAfter
	byWorkspace = map[identifier.WorkspaceName]*workspaceResult{}
	arrivals := map[identifier.WorkspaceName][]time.Time{}
	latencies := map[identifier.WorkspaceName][]time.Duration{}
	for _, o := range t.outcomes {
		s := byWorkspace[o.workspace]
		if s == nil {
			s = &workspaceResult{Failures: map[string]int{}}
			byWorkspace[o.workspace] = s
		}
		s.Offered++
		arrivals[o.workspace] = append(arrivals[o.workspace], o.arrival)
		latency := o.end.Sub(o.arrival)
		switch {
		case o.state != "":
			s.Failures[o.state]++
		case latency <= lateAfter:
			s.Good++
		}
		if o.state == "" {
			latencies[o.workspace] = append(latencies[o.workspace], latency)
		}
		if o.state == overRateState {
			s.Refused++
			if o.end.After(s.LastRefused) {
				s.LastRefused = o.end
			}
		}
		if o.violation {
			violations++
		}
	}
	for w, s := range byWorkspace {
		s.WithinRate = withinRate(arrivals[w], limits[w])
		s.P99 = quantile(latencies[w], 0.99)
	}
	return byWorkspace, violations
}

// withinRate reports whether a single token bucket, full at the first arrival,
// would have admitted all arrivals of the fleet.
func withinRate(arrivals []time.Time, limit limiter.Limit) bool {
	arrivals = slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	var now time.Time
	if len(arrivals) > 0 {
		now = arrivals[0]
	}
	b := &limiter.Bucket{Now: func() time.Time { return now }}
	b.Merge(limit, limiter.Share{Fraction: limiter.Whole, Tokens: limit.Burst})
	for _, now = range arrivals {
		if _, _, ok := b.Take(limit, 1); !ok {
			return false
		}
	}
	return true
}

// longestWriteGap returns the longest time without an acknowledged write, counted
// from the last write before the kill, and whether writes resumed. They did not
// if the longest gap lasts until the end.
func longestWriteGap(writes []time.Time, killed, end time.Time) (time.Duration, bool) {
	writes = slices.SortedFunc(slices.Values(writes), time.Time.Compare)
	last, longest := killed, time.Duration(0)
	resumed := false
	for _, w := range writes {
		if w.After(killed) {
			longest = max(longest, w.Sub(last))
			resumed = true
		}
		last = w
	}
	if rest := end.Sub(last); rest > longest {
		return rest, false
	}
	return longest, resumed
}

// quantile returns the nearest-rank quantile, or 0 without values.
func quantile[T int | float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// hash returns the FNV-1a hash of a text.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
