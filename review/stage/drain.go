package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"oleanderpulley/platform/imitator"
)

const (
	grace          = 6 * time.Second        // bounds.graceS
	lossSlack      = 200 * time.Millisecond // bounds.lossSlackMs
	excusedAfter   = 3 * time.Second        // Requests sent until then may be cut in the last sixth of the grace.
	readTimeout    = 2 * time.Second        // timeoutMs of the route
	restartDelay   = 500 * time.Millisecond
	probesToRemove = 2
	rollGap        = 1300 * time.Millisecond // gap_s of roll_term.
	pause          = 400 * time.Millisecond  // Of a client between the statements of a transaction.
)

// entrance is the platform's address for clients: it sends new connections to the instances
// in rotation, and to all of them if fewer than half are.
type entrance struct {
	w  *world
	mu sync.Mutex
	in []bool
}

// probe asks all instances once a second. ticks gets the time of each round.
func (e *entrance) probe(stop <-chan struct{}, ticks chan<- time.Time) {
	misses := make([]int, len(e.in))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var probes sync.WaitGroup
		for n, i := range e.w.instances {
			probes.Go(func() {
				if misses[n]++; i.ready() {
					misses[n] = 0
				}
			})
		}
		probes.Wait()
		for n, i := range e.w.instances {
			e.mu.Lock()
			was := e.in[n]
			e.in[n] = misses[n] == 0 || was && misses[n] < probesToRemove
			if e.in[n] != was {
				e.w.rec.add("instance %s is in rotation: %t", i.settings.name, !was)
			}
			e.mu.Unlock()
		}
		select {
		case ticks <- time.Now():
		default:
		}
	}
}

// choose returns the number of the instance that gets the next connection.
func (e *entrance) choose() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var in []int
	for n, inRotation := range e.in {
		if inRotation {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(e.in) {
		return rand.IntN(len(e.in))
	}
	return in[rand.IntN(len(in))]
}

// lost is a request without a whole answer.
type lost struct {
	id       string
	instance int
	sentAt   time.Time
	endedAt  time.Time
	err      error
}

// drain stops two of the three instances of a zone and starts them again, one after the
// other, while clients go on that open a session for each read, and others with transactions.
func drain(w *world) (broken bool, err error) {
	capacity := imitator.Capacity{Slots: 12, QueueLimit: 24, StatementTime: 80 * time.Millisecond, ConnectTime: 12 * time.Millisecond}
	g, err := w.addService("bookings", capacity, "i-a1", "i-a2", "i-a3")
	if err != nil {
		return false, err
	}
	w.configure([]route{{"browse", "bounded_staleness", "bookings", readTimeout, 500 * time.Millisecond, staleness}}, []tenant{{"t1", "key1", 2000, 2000}})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	e := &entrance{w: w, in: []bool{true, true, true}}
	stop, ticks := make(chan struct{}), make(chan time.Time, 1)
	go e.probe(stop, ticks)
	var clients sync.WaitGroup
	results := make(chan lost, 10_000)
	for range 48 {
		clients.Go(func() { e.readAlone(stop, results) })
	}
	for range 12 {
		clients.Go(func() { e.readInTransactions(stop) })
	}
	time.Sleep(5 * time.Second)
	<-ticks
	<-ticks
	time.Sleep(300 * time.Millisecond)
	var restarts sync.WaitGroup
	stoppedAt := []time.Time{time.Now(), time.Now().Add(rollGap)}
	for n, at := range stoppedAt {
		if w.trouble {
			restarts.Go(func() { restart(w.instances[n], at) })
		}
	}
	time.Sleep(rollGap + grace + 4*time.Second)
	close(stop)
	clients.Wait()
	restarts.Wait()
	return w.judgeLost(g, stoppedAt, results), nil
}

// restart stops an instance at the time, as the platform does, and starts it again.
func restart(i *instance, at time.Time) {
	time.Sleep(time.Until(at))
	i.signal(syscall.SIGTERM)
	select {
	case <-i.ended():
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-i.ended()
	}
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		i.rec.add("instance %s does not start: %v", i.settings.name, err)
	}
}

// readAlone opens a session for each read.
func (e *entrance) readAlone(stop <-chan struct{}, results chan<- lost) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(30+rand.IntN(60)) * time.Millisecond):
		}
		n := e.choose()
		s, err := open(e.w.instances[n].client(), "browse", "key1")
		if err != nil {
			continue // Nothing was asked; the client tries again.
		}
		id := newID()
		a, err := s.ask(id, "READ item", 8*time.Second)
		s.close()
		e.w.rec.addAt(a.sentAt, "%s READ sent to %s; after %s: %s %v", id, e.w.instances[n].settings.name, time.Since(a.sentAt).Round(time.Millisecond), a.done, err)
		if err != nil {
			results <- lost{id, n, a.sentAt, time.Now(), err}
		}
	}
}

// readInTransactions runs transactions of 12 statements with pauses, a session for each.
func (e *entrance) readInTransactions(stop <-chan struct{}) {
	for {
		s, err := open(e.w.instances[e.choose()].client(), "browse", "key1")
		for n := 0; err == nil && n < 12; n++ {
			text := "READ item"
			switch n {
			case 0:
				text = "BEGIN READ"
			case 11:
				text = "COMMIT"
			}
			var a answer
			if a, err = s.ask(newID(), text, 8*time.Second); err == nil && !a.ok() {
				break
			}
			select {
			case <-stop:
				s.close()
				return
			case <-time.After(pause):
			}
		}
		if s != nil {
			s.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// judgeLost reports whether a request that a stopped instance had read was not answered. It
// leaves out those that the rule excuses.
func (w *world) judgeLost(g *imitator.Group, stoppedAt []time.Time, results chan lost) (broken bool) {
	close(results)
	ranAt := map[string]string{}
	for _, run := range g.Executions() {
		ranAt[run.ID] = run.Server
	}
	count := 0
	for l := range results {
		took, server := l.endedAt.Sub(l.sentAt), ranAt[l.id]
		w.rec.addAt(l.sentAt, "%s sent to %s, ended %s later without an answer: %v; run by %q", l.id,
			w.instances[l.instance].settings.name, took.Round(time.Millisecond), l.err, server)
		if l.instance >= len(stoppedAt) {
			continue
		}
		stopped := stoppedAt[l.instance]
		switch {
		case l.sentAt.Sub(stopped) <= excusedAfter || l.endedAt.Sub(stopped) > grace+time.Second:
		case took >= readTimeout, server == "" && took <= lossSlack:
		default:
			w.rec.addAt(l.sentAt, "%s counts: it was sent %s after SIGTERM", l.id, l.sentAt.Sub(stopped).Round(time.Millisecond))
			count++
		}
	}
	w.rec.say("%d requests that were read were not answered", count)
	return count > 0
}
