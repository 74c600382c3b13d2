package main

import (
	"sync"
	"time"
)

// startsAgainSoon is the time from the crash of the primary until the replica that has its
// last commits starts again.
const startsAgainSoon = 200 * time.Millisecond

// rebornCount crashes the primary of a service with syncReplicas 1 while one replica has
// received nothing for a while. The other one, which has every commit, starts again under its
// id at that time, with nothing of before.
func rebornCount(w *world) (broken bool, err error) {
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
		w.rec.add("replica i-a2 receives nothing from now on")
		w.members["i-a2"].PauseReplication(true)
		time.Sleep(deafBefore)
		w.crash("i-a1")
		time.Sleep(startsAgainSoon)
		w.startAgain("bookings", "i-a3")
		time.Sleep(primaryAway - startsAgainSoon)
		w.comeBack(g, "i-a1")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	return w.judgeCommits(g, &acked), nil
}
