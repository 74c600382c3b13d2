package sharer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// measureCosts enables TestCostOfSharing, which measures a table of fleet sizes
// and numbers of workspaces.
var measureCosts = flag.Bool("cost", false, "measure the message cost for several numbers of instances and workspaces")

const (
	costWarmUp   = 15 * time.Second
	costDuration = 15 * time.Second
	requestRate  = 50.0 // Requests a second on each instance.
)

// Guards against a message cost per instance that grows with the fleet. The
// number of requests per instance is constant, and they are spread over all
// workspaces.
func TestCostOfSharing(t *testing.T) {
	if !*measureCosts {
		t.Skip("run with -cost")
	}
	for _, workspaces := range []int{8, 64, 256} {
		sent := map[int]float64{}
		for _, instances := range []int{4, 8, 15, 40, 80} {
			sent[instances] = measureCost(t, instances, workspaces)
		}
		// Doubling the fleet may raise the cost per instance by at most 25%.
		qt.Check(t, sent[80] <= 1.25*sent[40], qt.IsTrue, qt.Commentf("%d workspaces", workspaces))
	}
}

// measureCost returns the number of messages a second that an instance sends.
func measureCost(t *testing.T, instances, workspaces int) (sent float64) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[identifier.WorkspaceName]limiter.Limit{}
		rate := requestRate * float64(instances) / float64(workspaces) / loadFactor
		for i := range workspaces {
			limits[identifier.WorkspaceName(fmt.Sprintf("w%03d", i))] = limiter.Limit{Rate: rate, Burst: max(16, rate*0.4)}
		}
		f := newFleet(t.Context(), 1, limits)
		defer f.close()
		for i := range instances {
			f.add(dataCentre(i))
		}
		rng := rand.New(rand.NewPCG(1, 1))
		var pending sync.WaitGroup
		offer := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(time.Duration(rng.ExpFloat64() / (requestRate * float64(instances)) * 1e9))
				n, w := f.nodes[rng.IntN(instances)], f.names[rng.IntN(workspaces)]
				pending.Go(func() { _ = n.admit(w, 1) })
			}
			pending.Wait()
		}
		offer(costWarmUp)
		messages, bytes := f.messages.Load(), f.bytes.Load()
		before := make([]int64, instances)
		for i, n := range f.nodes {
			before[i] = n.messages.Load()
		}
		offer(costDuration)
		busiest := int64(0)
		for i, n := range f.nodes {
			busiest = max(busiest, n.messages.Load()-before[i])
		}
		each := costDuration.Seconds() * float64(instances)
		sent = float64(f.messages.Load()-messages) / each
		t.Logf("%3d workspaces, %2d instances: each sends %.1f messages/s, %.0f B/s; the busiest sends and receives %.1f messages/s",
			workspaces, instances, sent, float64(f.bytes.Load()-bytes)/each,
			float64(busiest)/costDuration.Seconds())
	})
	return sent
}
