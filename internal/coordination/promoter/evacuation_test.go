package promoter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
)

// evacuationRun is the result of a simulated evacuation.
type evacuationRun struct {
	violation string
	primary   identifier.BackendServerID // At the end.
	futile    string                     // A term that was claimed although all members were evacuated.
}

// decisionTime bounds the time from the check of the reason to the claim of a term:
// the delay by rank and the calls to peers and platform.
const decisionTime = 3 * time.Second

// simulateEvacuation exposes a group to random faults while the first of the
// evacuated members, and a second later all of them, are evacuated. The faults then
// end and the evacuation stays. One of the instances stops for good after the given
// step of its first attempt, as if it was killed.
func simulateEvacuation(t *testing.T, seed uint64, members int, evacuated []int, killedAfter promoter.Step, faults int) (run evacuationRun) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := newModel(seed, members)
		go m.replicate(ctx)
		random := rand.New(rand.NewPCG(seed, 1))
		var all []*instance
		killed := false
		var allEvacuated time.Time
		for n := range 3 {
			i := newInstance(m, fmt.Sprintf("i%d", n), disabledMechanisms{})
			i.onStep = func(e promoter.Event) {
				stop := false
				m.withLock(func() {
					if e.Step == promoter.StepDecided && !allEvacuated.IsZero() && time.Since(allEvacuated) > decisionTime {
						run.futile = fmt.Sprintf("term %d was claimed for reason %s", e.Term, e.Reason)
					}
					stop, killed = !killed && e.Step == killedAfter, killed || e.Step == killedAfter
				})
				if stop {
					<-ctx.Done()
				}
			}
			all = append(all, i)
		}
		for _, i := range all {
			i.peers = slices.DeleteFunc(slices.Clone(all), func(o *instance) bool { return o == i })
			go i.runUntilDone(ctx)
		}
		_ = sleep(ctx, 3*time.Second)
		for count := range len(evacuated) {
			m.withLock(func() {
				m.evacuated[m.servers[evacuated[count]]] = true
				if len(m.evacuated) == members {
					allEvacuated = time.Now()
				}
			})
			_ = sleep(ctx, time.Second)
		}
		for range faults {
			inject(m, random, all)
			_ = sleep(ctx, time.Duration(random.Int64N(int64(1500*time.Millisecond))))
		}
		heal(m)
		_ = sleep(ctx, 30*time.Second)
		run.violation = m.violation()
		m.withLock(func() { run.primary = m.primary() })
		cancel()
		synctest.Wait()
	})
	return run
}

// Guards against a primary that stays in an evacuated data centre although another
// member can take over, against the loss of durable writes in its replacement, and
// against replacing the primary of a group whose members are all evacuated. The
// instance that performs the replacement may stop at any step.
func TestEvacuatedPrimaryIsReplaced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		members := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "members")
		evacuated := rapid.SliceOfNDistinct(rapid.IntRange(0, members-1), 1, members, rapid.ID).Draw(rt, "evacuated")
		killedAfter := rapid.SampledFrom([]promoter.Step{"", promoter.StepDecided, promoter.StepFenced, promoter.StepWaited, promoter.StepPromoted}).Draw(rt, "killed after")
		faults := rapid.SampledFrom([]int{0, 20}).Draw(rt, "faults")
		run := simulateEvacuation(t, seed, members, evacuated, killedAfter, faults)
		index := slices.IndexFunc(evacuated, func(n int) bool { return identifier.BackendServerID(fmt.Sprintf("m%d", n)) == run.primary })
		switch {
		case run.violation != "":
			rt.Fatalf("seed %d: %s", seed, run.violation)
		case len(evacuated) < members && index >= 0:
			rt.Fatalf("seed %d: evacuated %v, primary %s", seed, evacuated, run.primary)
		case run.futile != "":
			rt.Fatalf("seed %d: evacuated %v: %s", seed, evacuated, run.futile)
		}
	})
}

// Guards against a change of primary in a group to which nothing is sent, and
// against a group that stays without a primary after the return of a data centre.
func TestPrimaryFailsWhileAllMembersAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newModel(1, 3)
		go m.replicate(ctx)
		i := newInstance(m, "i0", disabledMechanisms{})
		steps := 0
		i.onStep = func(promoter.Event) { m.withLock(func() { steps++ }) }
		go i.runUntilDone(ctx)
		_ = sleep(ctx, 3*time.Second)
		m.withLock(func() {
			for _, id := range m.servers {
				m.evacuated[id] = true
			}
		})
		_ = sleep(ctx, time.Second)
		m.withLock(func() { m.members[m.servers[0]].down = true })
		_ = sleep(ctx, 20*time.Second)
		m.withLock(func() { qt.Assert(t, steps, qt.Equals, 0) })
		m.withLock(func() { delete(m.evacuated, m.servers[2]) })
		_ = sleep(ctx, 20*time.Second)
		m.withLock(func() { qt.Assert(t, m.primary(), qt.Equals, m.servers[2]) })
		cancel()
		synctest.Wait()
	})
}
