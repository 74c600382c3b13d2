package ratelimiter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers: where the attempts of a workspace arrive.
func skewed(s *simulation) func() int {
	order := s.random.Perm(s.size)
	sum := 0.0
	for i := range s.size {
		sum += 1 / float64(1+i)
	}
	return func() int {
		x := s.random.Float64() * sum
		for i := range order {
			if x -= 1 / float64(1+i); x < 0 {
				return order[i]
			}
		}
		return order[0]
	}
}

func roaming(s *simulation) func() int {
	return func() int { return s.random.IntN(s.size) }
}

// moving callers use a few instances for a second each.
func moving(s *simulation) func() int {
	return func() int { return int(time.Now().Unix()*7919+int64(s.random.IntN(3))*31) % s.size }
}

// single callers use one instance.
func single(s *simulation) func() int {
	return func() int { return s.size - 1 }
}

type callers struct {
	name string
	make func(*simulation) func() int
}

var everyCallers = []callers{{"skewed", skewed}, {"roaming", roaming}, {"moving", moving}, {"single", single}}

var everySize = []struct{ size, dataCentres int }{{15, 3}, {136, 4}, {295, 5}}

// limitsAndCallers yields each limit of a few rates with each kind of callers.
func limitsAndCallers(yield func(Limit, callers) bool) {
	for _, rate := range []float64{1, 3, 10, 50} {
		for _, c := range everyCallers {
			if !yield(Limit{rate, rate}, c) {
				return
			}
		}
	}
}

// loads are the demands, as multiples of the rate, with their bounds.
var loads = []struct {
	demand   float64
	span     time.Duration
	wrongful float64 // Highest refused part of the attempts within the rate, over all callers and rates.
	messages float64 // Most requests per attempt, over all callers and rates.
	served   float64 // Lowest part of the owed operations that is admitted, in every simulation.
}{
	{0.625, 30 * time.Second, 0.005, 1, 0.98},
	{0.9, 30 * time.Second, 0.02, 1.2, 0.9},
	{7.5, 8 * time.Second, 1, 3, 0.85},
}

// Guards against refusals of a workspace that stays within its rate, a bucket
// that never holds a whole token, floods that ask every owner for each operation,
// and a sum over all instances beyond the limit.
func TestSimulatedLoads(t *testing.T) {
	for _, z := range everySize {
		for _, load := range loads {
			t.Run(fmt.Sprint(z.size, "/", load.demand), func(t *testing.T) {
				sum := report{reasons: map[Reason]int{}}
				for limit, c := range limitsAndCallers {
					r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
						choose := c.make(s)
						s.run(10*time.Second, limit.Rate*0.6, choose)
						s.reset()
						s.run(load.span, limit.Rate*load.demand, choose)
					})
					t.Logf("%v/%s: %v", limit.Rate, c.name, r)
					qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", limit.Rate, c.name, r.mostInWindow()))
					qt.Check(t, r.servedShare() >= load.served, qt.IsTrue, qt.Commentf("%v/%s: served %.3f", limit.Rate, c.name, r.servedShare()))
					sum.add(r)
				}
				t.Logf("all: %v", sum)
				qt.Check(t, sum.wrongfulShare() < load.wrongful, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
				qt.Check(t, sum.messagesPerAttempt() < load.messages, qt.IsTrue, qt.Commentf("messages %.2f", sum.messagesPerAttempt()))
			})
		}
	}
}

// Guards against the loss of more than an owner's fraction while the owner does
// not answer, and against refusals of operations that wait for its answer.
func TestSimulatedDeathOfAnOwner(t *testing.T) {
	for _, z := range everySize {
		for _, closed := range []bool{false, true} {
			t.Run(fmt.Sprint(z.size, "/closed=", closed), func(t *testing.T) {
				sum := report{reasons: map[Reason]int{}}
				for limit, c := range limitsAndCallers {
					r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
						choose := c.make(s)
						s.run(5*time.Second, limit.Rate*0.625, choose)
						s.reset()
						owner := s.instances[(s.size-1)%z.dataCentres] // In the data centre of the single caller.
						s.fail(owner, closed)
						s.run(removalDelay, limit.Rate*0.625, choose)
						s.setRemoved(owner, true)
						s.updateShares()
						s.run(4*time.Second, limit.Rate*0.625, choose)
					})
					t.Logf("%v/%s: %v", limit.Rate, c.name, r)
					qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", limit.Rate, c.name, r.mostInWindow()))
					sum.add(r)
				}
				t.Logf("all: %v", sum)
				qt.Check(t, sum.wrongfulShare() < 0.02, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
			})
		}
	}
}

// Guards against refusals after a loss of power: the buckets began with a quarter
// of a second of the rate when the limits were known, although nothing had been
// admitted since the processes had started.
func TestSimulatedLossOfPower(t *testing.T) {
	const powerless, startup = 1400 * time.Millisecond, 900 * time.Millisecond
	for _, z := range everySize {
		t.Run(fmt.Sprint(z.size), func(t *testing.T) {
			sum := report{reasons: map[Reason]int{}}
			for limit, c := range limitsAndCallers {
				r := simulate(t, 1, z.size, z.dataCentres, limit, func(s *simulation) {
					choose := c.make(s)
					s.run(5*time.Second, limit.Rate*0.625, choose)
					time.Sleep(powerless)
					for _, n := range s.instances {
						s.attempts.Go(func() { s.restart(n, startup) })
					}
					s.attempts.Wait()
					s.reset()
					s.run(time.Second, limit.Rate*1.5, choose) // Callers return.
					s.run(4*time.Second, limit.Rate*0.625, choose)
				})
				t.Logf("%v/%s: %v", limit.Rate, c.name, r)
				qt.Check(t, r.mostInWindow() <= quota(limit), qt.IsTrue, qt.Commentf("%v/%s: %d", limit.Rate, c.name, r.mostInWindow()))
				sum.add(r)
			}
			t.Logf("all: %v", sum)
			qt.Check(t, sum.wrongfulShare() < 0.03, qt.IsTrue, qt.Commentf("wrongful %.4f", sum.wrongfulShare()))
		})
	}
}
