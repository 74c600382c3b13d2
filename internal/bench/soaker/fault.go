package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// Bounds of the schedule.
const (
	leastGap  = 200 * time.Millisecond
	mostGap   = 1500 * time.Millisecond
	leastSpan = 500 * time.Millisecond
	mostSpan  = 4 * time.Second
	keySpan   = withdrawal + 4*time.Second // Of a cut from the store around the withdrawal of a key.
	killWait  = 500 * time.Millisecond     // From a kill to the restart.
	graceTime = 3 * time.Second
)

// fault is one disruption; it lasts for the span.
type fault struct {
	name string
	run  func(w *world, random *rand.Rand, span time.Duration)
}

var faults = []fault{
	{"kill", func(w *world, r *rand.Rand, _ time.Duration) { w.restart(w.any(r), syscall.SIGKILL) }},
	{"stop", func(w *world, r *rand.Rand, _ time.Duration) { w.restart(w.any(r), syscall.SIGTERM) }},
	{"pause", func(w *world, r *rand.Rand, span time.Duration) {
		p := w.any(r)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(span)
		p.Signal(syscall.SIGCONT)
	}},
	{"hangup", func(w *world, r *rand.Rand, _ time.Duration) { w.any(r).Signal(syscall.SIGHUP) }},
	{"store away", func(w *world, _ *rand.Rand, span time.Duration) {
		w.store.SetFault(func(string, string) int { return http.StatusServiceUnavailable })
		time.Sleep(span)
		w.store.SetFault(nil)
	}},
	{"store answers lost", func(w *world, _ *rand.Rand, span time.Duration) {
		calls := 0
		w.store.SetFault(func(string, string) int {
			calls++
			if calls%3 == 0 {
				return -1
			}
			return 0
		})
		time.Sleep(span)
		w.store.SetFault(nil)
	}},
	{"store silent", func(w *world, _ *rand.Rand, span time.Duration) {
		w.cutStore(w.instances, span)
	}},
	{"instance cut from the store", func(w *world, r *rand.Rand, span time.Duration) { w.proxies[w.any(r).Name].BlackholeFor(span) }},
	{"key withdrawn beside a cut", func(w *world, r *rand.Rand, _ time.Duration) {
		var cut []*stager.Process
		for i := r.IntN(dataCentres); i < len(w.instances); i += dataCentres {
			cut = append(cut, w.instances[i])
		}
		time.AfterFunc(leastSpan, w.withdraw)
		w.cutStore(cut, keySpan)
	}},
	{"registration removed behind a cut", func(w *world, r *rand.Rand, _ time.Duration) {
		p := w.any(r)
		w.store.Remove("instances", p.Name)
		w.proxies[p.Name].BlackholeFor(keySpan)
	}},
	{"server refuses", func(w *world, r *rand.Rand, span time.Duration) {
		m := w.members[w.server(r)]
		m.Refuse("BUSY")
		time.Sleep(span)
		m.Refuse("")
	}},
	{"server silent", func(w *world, r *rand.Rand, span time.Duration) { w.proxies[w.server(r)].BlackholeFor(span) }},
	{"connections silent", func(w *world, r *rand.Rand, _ time.Duration) { w.proxies[w.server(r)].BlackholeOpen() }},
	{"connections reset", func(w *world, r *rand.Rand, _ time.Duration) { w.proxies[w.server(r)].Reset() }},
	{"slow link", func(w *world, r *rand.Rand, span time.Duration) {
		p := w.proxies[w.server(r)]
		p.SetDelay(60 * time.Millisecond)
		time.Sleep(span)
		p.SetDelay(0)
	}},
	{"replica held", func(w *world, r *rand.Rand, span time.Duration) {
		id := w.server(r)
		if id == w.group.Leader() {
			return
		}
		w.members[id].Hold(true)
		time.Sleep(span)
		w.members[id].Hold(false)
	}},
	{"answers lost", func(w *world, r *rand.Rand, _ time.Duration) { w.members[w.server(r)].LoseAnswers(3) }},
	{"promotion", func(w *world, r *rand.Rand, _ time.Duration) {
		w.group.Promote(w.server(r))
		w.register()
	}},
	{"primary deposed and behind", func(w *world, r *rand.Rand, span time.Duration) {
		deposed := w.depose(r)
		time.Sleep(leastSpan) // The news of it is late.
		w.register()
		time.Sleep(span)
		deposed.Hold(false)
	}},
	{"primary deposed beside a pause", func(w *world, r *rand.Rand, span time.Duration) {
		p := w.any(r)
		p.Signal(syscall.SIGSTOP)
		deposed := w.depose(r)
		time.Sleep(leastSpan)
		p.Signal(syscall.SIGCONT)
		w.register()
		time.Sleep(span)
		deposed.Hold(false)
	}},
	{"key withdrawn", func(w *world, _ *rand.Rand, _ time.Duration) { w.withdraw() }},
	{"configuration", func(w *world, _ *rand.Rand, _ time.Duration) { w.configure() }},
}

// injectAll plays the schedule of the random source for the time and returns
// what it did. Faults overlap.
func (w *world) injectAll(ctx context.Context, random *rand.Rand, length time.Duration) []string {
	var names []string
	var running sync.WaitGroup
	start := time.Now()
	for time.Since(start) < length && ctx.Err() == nil {
		pause(ctx, leastGap+time.Duration(random.Int64N(int64(mostGap-leastGap))))
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		span := leastSpan + time.Duration(random.Int64N(int64(mostSpan-leastSpan)))
		names = append(names, fmt.Sprintf("%.1f %s", time.Since(start).Seconds(), f.name))
		running.Go(func() { f.run(w, own, span) })
	}
	running.Wait()
	return names
}

// depose promotes another server. The primary of before receives nothing more.
func (w *world) depose(r *rand.Rand) *imitator.Member {
	leader := w.group.Leader()
	successor := w.server(r)
	for successor == leader {
		successor = w.server(r)
	}
	deposed := w.members[leader]
	deposed.Hold(true)
	w.group.Promote(successor)
	return deposed
}

func (w *world) any(r *rand.Rand) *stager.Process {
	return w.instances[r.IntN(len(w.instances))]
}

func (w *world) server(r *rand.Rand) string {
	return string(rune('a' + r.IntN(len(w.members))))
}

func (w *world) restart(p *stager.Process, s syscall.Signal) {
	if err := p.Restart(s); err != nil {
		fmt.Println("fault:", err)
	}
}

// cutStore cuts instances off from the store for the span.
func (w *world) cutStore(cut []*stager.Process, span time.Duration) {
	for _, p := range cut {
		w.proxies[p.Name].SetBlackhole(true)
	}
	time.Sleep(span)
	for _, p := range cut {
		w.proxies[p.Name].SetBlackhole(false)
	}
}
