package sharer_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// Guards against an instance that gathers the whole limit because all calls arrive
// at it, so that the limit is missing when it dies, and against refusals there
// because the rest is held by idle instances.
func TestOneBusyInstanceDoesNotGatherTheLimit(t *testing.T) {
	limits := map[identifier.WorkspaceName]limiter.Limit{"w": {Rate: 400, Burst: 80}}
	for _, instances := range []int{2, 3, 8} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t.Context(), 1, limits)
				defer f.close()
				for i := range instances {
					f.add(dataCentre(i))
				}
				time.Sleep(warmUp)
				busy := f.nodes[0]
				if busy.sharer.Held("w").Fraction > 0 {
					busy = f.nodes[1] // The other one was issued the limit.
				}
				refused := f.offer(busy, 10*time.Second, loadFactor*400)
				held := busy.sharer.Held("w").Fraction
				t.Logf("holds %.3f, %.4f refused", held.Of(1), refused)
				qt.Check(t, held > 0, qt.IsTrue)
				qt.Check(t, held.Of(1) <= 1/float64(min(4, instances))+0.001, qt.IsTrue)
				qt.Check(t, refused < 0.01, qt.IsTrue)
			})
		})
	}
}

// offer sends calls to the instance at regular intervals and returns the refused
// part.
func (f *fleet) offer(n *node, span time.Duration, rate float64) float64 {
	var pending sync.WaitGroup
	var mu sync.Mutex
	calls, refused := 0, 0
	for end := time.Now().Add(span); time.Now().Before(end); calls++ {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		pending.Go(func() {
			if n.sharer.Admit(n.ctx, "w", 1) != nil {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	pending.Wait()
	return float64(refused) / float64(calls)
}
