package ratelimiter

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against refusals after a limit is raised, because owners that are new
// for the larger rate hold nothing yet, and against the old limit after it is
// lowered.
func TestSimulatedChangesOfTheLimit(t *testing.T) {
	for _, z := range everySize {
		t.Run(fmt.Sprint(z.size), func(t *testing.T) {
			sum := report{reasons: map[Reason]int{}}
			for _, c := range everyCallers {
				excess := 0
				r := simulate(t, 1, z.size, z.dataCentres, Limit{10, 10}, func(s *simulation) {
					choose := c.make(s)
					s.run(5*time.Second, 6, choose)
					s.reset()
					for _, rate := range []float64{50, 10, 50, 5} {
						s.setLimit(Limit{rate, rate})
						s.run(propagation, min(rate, 6), choose)
						s.run(5*time.Second, rate*0.625, choose)
					}
					excess = s.excess()
				})
				t.Logf("%s: %v", c.name, r)
				qt.Check(t, excess <= 0, qt.IsTrue, qt.Commentf("%s: %d", c.name, excess))
				sum.add(r)
			}
			t.Logf("all: %v", sum)
			qt.Check(t, sum.wrongfulShare() < 0.005, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
		})
	}
}

// limitChange is the limit from a time on.
type limitChange struct {
	at    time.Time
	limit Limit
}

// setLimit changes the limit at all instances, within the time that a change
// takes to reach them.
func (s *simulation) setLimit(l Limit) {
	s.mu.Lock()
	s.limit, s.reference.limit = l, l
	s.limits = append(s.limits, limitChange{time.Now(), l})
	s.mu.Unlock()
	s.updateShares()
}

// excess returns by how many operations the fullest quotaWindow exceeds the
// largest limit that was in force at an instance within it.
func (s *simulation) excess() int {
	excess, first := math.MinInt, 0
	for i, t := range s.report.admitted {
		for t.Sub(s.report.admitted[first]) > quotaWindow {
			first++
		}
		allowed := 0
		for j, c := range s.limits {
			ended := j+1 < len(s.limits) && s.limits[j+1].at.Add(propagation).Before(s.report.admitted[first])
			if !ended && !c.at.After(t) {
				allowed = max(allowed, quota(c.limit))
			}
		}
		excess = max(excess, i-first+1-allowed)
	}
	return excess
}

// rejoin starts an instance again, which registers if it was removed.
func (s *simulation) rejoin(n *simulatedInstance) {
	if !s.isRemoved(n) {
		s.restart(n, 0)
		return
	}
	s.setRemoved(n, false)
	s.restart(n, 0)
	n.limiter.MarkRegistered()
	s.updateShares()
}

// disturb changes the simulation at random.
func (s *simulation) disturb(kind int) {
	n := s.instances[s.random.IntN(min(s.size, 8))]
	switch kind {
	case 0:
		s.fail(n, s.random.IntN(2) == 0)
	case 1:
		for _, n := range s.instances {
			if s.isDown(n) {
				s.setRemoved(n, true)
			}
		}
		s.updateShares()
	case 2:
		if s.isDown(n) {
			time.Sleep(minRestartTime)
			s.rejoin(n)
		}
	case 3:
		for _, n := range s.instances {
			s.fail(n, false)
		}
		time.Sleep(minRestartTime)
		for _, n := range s.instances {
			s.rejoin(n)
		}
	case 4:
		rate := float64(1 + s.random.IntN(50))
		s.setLimit(Limit{rate, float64(1+s.random.IntN(20)) / 10 * rate})
	case 5:
		parts := 1 + s.random.IntN(3)
		s.mu.Lock()
		s.isPartitioned = func(i, j int) bool { return i%parts != j%parts }
		s.mu.Unlock()
	default: // The load alone.
	}
}

// disturbances is the number of kinds of [simulation.disturb].
const disturbances = 7

// Guards against a sum over all instances beyond the limit, in any order of
// floods, failures, removals, restarts, partitions and changes of the limit.
func TestSimulatedSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.IntRange(1, 20).Draw(rt, "size")
		dataCentres := rapid.IntRange(1, 5).Draw(rt, "data centres")
		rate := float64(rapid.IntRange(1, 50).Draw(rt, "rate"))
		limit := Limit{rate, max(1, rate*rapid.Float64Range(0.1, 3).Draw(rt, "burst"))}
		kinds := rapid.SliceOfN(rapid.IntRange(0, disturbances-1), 1, 8).Draw(rt, "kinds")
		spans := rapid.SliceOfN(rapid.IntRange(50, 2000), len(kinds), len(kinds)).Draw(rt, "spans")
		callers := rapid.SampledFrom(everyCallers).Draw(rt, "callers")
		excess := 0
		simulate(t, seed, size, dataCentres, limit, func(s *simulation) {
			choose := callers.make(s)
			time.Sleep(3 * time.Second) // Fills the buckets.
			for i, kind := range kinds {
				s.run(time.Duration(spans[i])*time.Millisecond, 7.5*s.limit.Rate, choose)
				s.disturb(kind)
			}
			s.run(2*time.Second, 7.5*s.limit.Rate, choose)
			excess = s.excess()
		})
		if excess > 0 {
			rt.Fatalf("%d operations beyond the limit", excess)
		}
	})
}
