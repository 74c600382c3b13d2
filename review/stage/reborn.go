package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	platformAway = 4 * time.Second // Time for which promotions are answered with 503.
	startsAgain  = 3 * time.Second // From the crash of the primary until the chosen replica starts again.
)

// reborn crashes the primary of a service with syncReplicas 1 while the platform makes no
// promotions for some seconds. The replica that was chosen as the successor starts again
// under its id meanwhile, with nothing of before; the other one has every commit.
func reborn(w *world) (broken bool, err error) {
	w.syncReplicas = 1
	g, err := w.addService("bookings", serviceTimes, "i-a1", "i-a2", "i-a3")
	if err != nil {
		return false, err
	}
	w.configure([]route{{"now", "primary", "bookings", 800 * time.Millisecond, 150 * time.Millisecond, 0}}, []tenant{{"t1", "key1", 2000, 2000}})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var acked sync.Map
	for _, i := range w.instances {
		go w.writeAcknowledged(i.client(), stop, &acked)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.rec.add("the platform answers promotions with 503 from now on")
		w.store.SetFault(func(_, path string) int {
			if path == "/promote" {
				w.rec.add("a promotion is answered with 503")
				return http.StatusServiceUnavailable
			}
			return 0
		})
		w.crash("i-a1")
		time.Sleep(startsAgain)
		w.startAgain("bookings", "i-a2")
		time.Sleep(platformAway - startsAgain)
		w.rec.add("the platform makes promotions again")
		w.store.SetFault(nil)
		time.Sleep(primaryAway - platformAway)
		w.comeBack(g, "i-a1")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	return w.judgeCommits(g, &acked), nil
}

// startAgain makes a replica start again under its id, with nothing of before. It receives
// nothing, because the primary is down.
func (w *world) startAgain(service, id string) {
	w.rec.add("replica %s starts again with nothing of before", id)
	w.members[id].PauseReplication(true) // The stand-in would give it the log of the crashed primary.
	w.members[id].RestartEmpty()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	w.register(service, id, "replica", "z1")
}
