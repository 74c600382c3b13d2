package main

import (
	"sync"
	"syscall"
	"time"

	"oleanderpulley/platform/imitator"
)

const (
	deafBefore  = 1500 * time.Millisecond // Time for which a replica receives nothing before the crash.
	replicaAway = 5900 * time.Millisecond // Time without the replica that has all commits.
	primaryAway = 7 * time.Second         // Time without the primary.
	killAfter   = 500 * time.Millisecond  // From the crash.
	powerOff    = 2600 * time.Millisecond // Of the instance.
)

// syncLost crashes the primary of a service with syncReplicas 1 together with the replica that
// received its last commits, while the other replica has received nothing for a while, and
// kills one of the three instances meanwhile.
func syncLost(w *world) (broken bool, err error) {
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
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.rec.add("replica i-a2 receives nothing from now on")
		w.members["i-a2"].PauseReplication(true)
		time.Sleep(deafBefore)
		w.crash("i-a1")
		w.crash("i-a3")
		time.Sleep(killAfter)
		w.kill(w.instances[0])
		time.Sleep(replicaAway - powerOff - killAfter)
		w.comeBack(g, "i-a3")
		time.Sleep(primaryAway - replicaAway)
		w.comeBack(g, "i-a1")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	return w.judgeCommits(g, &acked), nil
}

// kill kills an instance and starts it again after the time without power.
func (w *world) kill(i *instance) {
	i.signal(syscall.SIGKILL)
	time.Sleep(powerOff)
	<-i.ended()
	if err := i.start(); err != nil {
		w.rec.add("instance %s does not start: %v", i.settings.name, err)
	}
}

// writeAcknowledged writes until it is stopped and keeps the ids of the writes that were
// acknowledged.
func (w *world) writeAcknowledged(address string, stop <-chan struct{}, acked *sync.Map) {
	var s *session
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		var err error
		if s == nil {
			if s, err = open(address, "now", "key1"); err != nil {
				s = nil
				continue
			}
		}
		id := newID()
		a, err := s.ask(id, "WRITE item x", 2*time.Second)
		if a.ok() {
			acked.Store(id, a.at)
		}
		w.rec.addAt(a.sentAt, "%s WRITE: %s %v", id, a.done, err)
		if err != nil {
			s.close()
			s = nil
		}
	}
}

// judgeCommits reports whether a promotion has discarded an acknowledged commit.
func (w *world) judgeCommits(g *imitator.Group, acked *sync.Map) (broken bool) {
	all, lost := 0, 0
	for _, c := range g.Commits() {
		for _, id := range c.IDs {
			at, isAcked := acked.Load(id)
			if !isAcked {
				continue
			}
			all++
			if c.Discarded {
				lost++
				w.rec.addAt(at.(time.Time), "commit %d.%d of %s was acknowledged and is not in the log of the promoted server", c.Term, c.Number, id)
			}
		}
	}
	w.rec.say("%d commits were acknowledged, %d of them were lost by a promotion", all, lost)
	return lost > 0
}
