package distributor

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

var measure = flag.Bool("measure", false, "measure the time until a change is in effect, in real time")

// Measures in real time, with 1 ms a hop, how long a change takes to be in
// effect on all instances and how many calls to the platform it causes.
func TestMeasureChange(t *testing.T) {
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
	for _, size := range []int{4, 8, 15, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { measureInstances(t, size, 10) })
	}
}

func measureInstances(t *testing.T, size, changes int) {
	sim := newSimulation()
	for i := range size {
		dc := string(rune('x' + i%3))
		sim.start(identifier.InstanceID(fmt.Sprintf("%s%02d", dc, i)), identifier.DataCentre(dc))
	}
	defer func() {
		for _, n := range sim.nodes {
			n.Close()
		}
	}()
	start := time.Now()
	sim.await(t, time.Minute, func() bool { return sim.establishedCount() == size })
	t.Logf("%d instances joined in %v", size, time.Since(start).Round(time.Millisecond))
	<-time.After(acceptanceWait)

	const rest = 10
	sim.withLock(func() { clear(sim.calls) })
	<-time.After(rest * time.Second)
	sim.withLock(func() { t.Logf("at rest, a second: %s", formatCallsPer(sim.calls, rest)) })

	var took []time.Duration
	sim.withLock(func() { clear(sim.calls) })
	begin := time.Now()
	for v := range changes {
		start := time.Now()
		_, err := sim.nodes["x00"].patch(identifier.ConfigVersion(v), fmt.Sprintf("a%d", v), v+1)
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, 10*time.Second, func() bool { return sim.inEffect(identifier.ConfigVersion(v + 1)) })
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	t.Logf("in effect everywhere: median %v, most %v", took[changes/2].Round(time.Millisecond), took[changes-1].Round(time.Millisecond))
	sim.withLock(func() {
		t.Logf("a change, with the %v at rest meanwhile: %s", (time.Since(begin) / time.Duration(changes)).Round(time.Millisecond), formatCallsPer(sim.calls, changes))
	})
}

func formatCallsPer(calls map[string]int, n int) string {
	text := ""
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		text += fmt.Sprintf("%s %.1f, ", kind, float64(calls[kind])/float64(n))
	}
	return text
}
