package promoter_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// failover kills the primary of a model with three instances. It calls onStep
// after each step of an instance; onStep may block the instance or stop it by
// calling stop. failover returns the time until the first write in a new term was
// acknowledged, the last term, and a violation of the guarantees or "".
func failover(t *testing.T, onStep func(i *instance, stop func(), e promoter.Event), faults func(*model)) (gap time.Duration, term uint64, violation string) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(3, 3)
		go m.replicate(ctx)
		for n := range 3 {
			i := newInstance(m, fmt.Sprintf("i%d", n), disabledMechanisms{})
			instanceCtx, stop := context.WithCancel(ctx)
			i.onStep = func(e promoter.Event) { onStep(i, stop, e) }
			go i.runUntilDone(instanceCtx)
		}
		_ = sleep(ctx, 2*time.Second)
		m.withLock(func() { m.members["m0"].down = true })
		began := time.Now()
		if faults != nil {
			faults(m)
		}
		_ = sleep(ctx, 30*time.Second)
		m.withLock(func() {
			for _, a := range m.acks {
				if a.term > 1 && gap == 0 {
					gap = a.at.Sub(began)
				}
			}
		})
		heal(m)
		_ = sleep(ctx, 10*time.Second)
		violation = m.violation()
		m.withLock(func() {
			for _, s := range m.members {
				term = max(term, uint64(s.Term))
				if s.Term != m.members[m.primary()].Term || s.Role == tracker.Primary && s.Server != m.primary() {
					violation = fmt.Sprintf("%s was not repaired: %+v", s.Server, s.MemberStatus)
				}
			}
		})
		cancel()
		synctest.Wait()
	})
	return gap, term, violation
}

var steps = []promoter.Step{
	promoter.StepDecided, promoter.StepFenced, promoter.StepWaited,
	promoter.StepPromoted, promoter.StepFollowed, promoter.StepOpened,
}

// Guards against a group that stays without a primary or loses writes when a
// promoter stops after any step, or pauses after it and continues later, possibly
// while another instance makes an attempt.
func TestPromoterDiesOrPausesAfterEachStep(t *testing.T) {
	for _, step := range steps {
		for _, pause := range []time.Duration{0, 2 * time.Second, 7 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("%s %s", step, pause), func(t *testing.T) {
				var done atomic.Bool
				gap, term, violation := failover(t, func(i *instance, stop func(), e promoter.Event) {
					if e.Step != step || done.Swap(true) {
						return
					}
					if pause == 0 {
						stop()
						return
					}
					_ = sleep(context.Background(), pause)
				}, nil)
				qt.Assert(t, violation, qt.Equals, "")
				qt.Assert(t, term <= 4, qt.IsTrue, qt.Commentf("term %d", term))
				qt.Assert(t, gap > 0 && gap < 18*time.Second, qt.IsTrue, qt.Commentf("%s", gap))
				t.Logf("gap %s, term %d", gap, term)
			})
		}
	}
}

// Guards against a superfluous or missing change of primary when the platform's
// answers are lost, or the platform is unavailable when the primary dies and
// recovers only later.
func TestPlatformFaultsDuringFailover(t *testing.T) {
	ignore := func(*instance, func(), promoter.Event) {}
	gap, term, violation := failover(t, ignore, func(m *model) { m.withLock(func() { m.loseAnswers = true }) })
	qt.Assert(t, violation, qt.Equals, "")
	qt.Assert(t, term, qt.Equals, uint64(2), qt.Commentf("lost answers must not open a second term"))
	qt.Assert(t, gap < 18*time.Second, qt.IsTrue)

	gap, term, violation = failover(t, ignore, func(m *model) {
		m.withLock(func() { m.platformDown = true })
		_ = sleep(context.Background(), 20*time.Second)
		m.withLock(func() { m.platformDown = false })
	})
	qt.Assert(t, violation, qt.Equals, "")
	qt.Assert(t, term, qt.Equals, uint64(2))
	qt.Assert(t, gap > 20*time.Second && gap < 24*time.Second, qt.IsTrue, qt.Commentf("%s", gap))
}

// Guards against a promotion without a majority of the members.
func TestNoPromotionWithoutMajority(t *testing.T) {
	gap, _, violation := failover(t, func(*instance, func(), promoter.Event) {}, func(m *model) {
		m.withLock(func() { m.members["m1"].down = true })
	})
	qt.Assert(t, violation, qt.Equals, "")
	qt.Assert(t, gap, qt.Equals, time.Duration(0))
}

// Guards against an attempt with an empty member list while the instance has not
// read the current configuration.
func TestNoOpeningWithoutConfiguration(t *testing.T) {
	m := newModel(1, 3)
	i := newInstance(m, "i0", disabledMechanisms{})
	i.Members = func(identifier.ServiceName) []promoter.Member { return nil }
	for _, id := range m.servers {
		i.group.Observe(m.members[id].status(), i.now(), i.now())
	}
	err := i.Run(t.Context(), service, promoter.Failed)
	qt.Assert(t, errors.Is(err, promoter.ErrNoMajority), qt.IsTrue)
	qt.Assert(t, m.version, qt.Equals, uint64(0))
}
