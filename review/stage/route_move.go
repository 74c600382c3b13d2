package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleanderpulley/platform/imitator"
)

// staleness is the maxStalenessMs of the route.
const staleness = 1500 * time.Millisecond

// serviceTimes are those of a small deployment.
var serviceTimes = imitator.Capacity{Slots: 3, QueueLimit: 24, StatementTime: 6 * time.Millisecond, ConnectTime: 12 * time.Millisecond}

// acknowledged is a commit as its client saw it.
type acknowledged struct {
	number uint64
	at     time.Time
}

// openRead is a transaction that was begun before the route was moved.
type openRead struct {
	session *session
	id      string
	begunAt time.Time // First byte of its BEGIN.
}

// routeMove moves a bounded_staleness route to another service while transactions are open
// that have not sent a read yet, and while a replica of that service receives nothing. With
// TROUBLE=lag the replica lags and the route is not moved.
func routeMove(w *world) (broken bool, err error) {
	if _, err := w.addService("bookings", serviceTimes, "i-a1", "i-a2", "i-a3"); err != nil {
		return false, err
	}
	stock, err := w.addService("stock", serviceTimes, "i-b1", "i-b2", "i-b3")
	if err != nil {
		return false, err
	}
	tenants := []tenant{{"t1", "key1", 2000, 2000}, {"t2", "key2", 2000, 2000}, {"t3", "key3", 2000, 2000}, {"t4", "key4", 2000, 2000}}
	routes := func(service string) []route {
		const timeout, target = 2 * time.Second, 500 * time.Millisecond
		return []route{
			{"browse", "bounded_staleness", service, timeout, target, staleness},
			{"stock-list", "bounded_staleness", "stock", timeout, target, staleness},
			{"bookings-now", "primary", "bookings", timeout, target, 0},
			{"stock-now", "primary", "stock", timeout, target, 0},
		}
	}
	w.configure(routes("bookings"), tenants)
	if err := w.startInstances(); err != nil {
		return false, err
	}
	// Both services are in use: a write each 50 ms through each of them, more to stock.
	stop := make(chan struct{})
	commits := make(chan acknowledged, 10_000)
	if err := w.fill("stock-now", 300); err != nil {
		return false, err
	}
	go w.write("stock-now", stop, commits)
	go w.write("bookings-now", stop, nil)
	for n := range 12 {
		go w.browse(w.instances[n%3].client(), tenants[n%4].key, stop)
	}
	defer close(stop)
	time.Sleep(time.Second)

	if w.trouble {
		w.rec.add("replica i-b2 receives nothing from now on")
		w.members["i-b2"].PauseReplication(true)
	}
	time.Sleep(3 * time.Second)
	var reads []openRead
	for n := range 24 {
		r, err := w.beginRead(w.instances[n%3].client(), tenants[n%4].key)
		if err != nil {
			return false, err
		}
		defer r.session.close()
		reads = append(reads, r)
	}
	if w.trouble && os.Getenv("TROUBLE") != "lag" {
		w.configure(routes("stock"), tenants)
	}
	time.Sleep(1200 * time.Millisecond)
	var asked sync.WaitGroup
	for _, r := range reads {
		asked.Go(func() {
			a, err := r.session.ask(r.id, "READ item", 3*time.Second)
			w.rec.addAt(a.sentAt, "client sends %s READ in the transaction of %s: %s %v", r.id, w.rec.at(r.begunAt), a.done, err)
		})
	}
	asked.Wait()
	w.members["i-b2"].PauseReplication(false)
	return w.judgeStale(stock, reads, drainChannel(commits)), nil
}

// fill makes commits through a route.
func (w *world) fill(database string, count int) error {
	s, err := open(w.instances[0].client(), database, "key1")
	if err != nil {
		return err
	}
	defer s.close()
	for n := range count {
		a, err := s.ask(newID(), "WRITE item "+strconv.Itoa(n), time.Second)
		if err != nil || !a.ok() {
			return fmt.Errorf("write %d: %s %w", n, a.done, err)
		}
	}
	return nil
}

// write writes through a route each 50 ms until it is stopped, and reports the commits that
// were acknowledged.
func (w *world) write(database string, stop <-chan struct{}, commits chan<- acknowledged) {
	s, err := open(w.instances[0].client(), database, "key1")
	if err != nil {
		w.rec.add("no session of %s: %v", database, err)
		return
	}
	defer s.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		a, err := s.ask(newID(), "WRITE item x", time.Second)
		if err != nil || !a.ok() || commits == nil {
			continue
		}
		_, position, _ := strings.Cut(a.ready, " ")
		_, text, _ := strings.Cut(position, ".")
		if number, err := strconv.ParseUint(text, 10, 64); err == nil {
			commits <- acknowledged{number, a.at}
			w.rec.addAt(a.at, "commit %d of %s is acknowledged", number, database)
		}
	}
}

// browse reads from stock through a route of its own until it is stopped.
func (w *world) browse(address, key string, stop <-chan struct{}) {
	s, err := open(address, "stock-list", key)
	if err != nil {
		w.rec.add("no session of stock-list: %v", err)
		return
	}
	defer s.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
			_, _ = s.ask(newID(), "READ item", 3*time.Second)
		}
	}
}

// beginRead opens a session of the route that is moved and begins a transaction.
func (w *world) beginRead(address, key string) (openRead, error) {
	s, err := open(address, "browse", key)
	if err != nil {
		return openRead{}, err
	}
	a, err := s.ask(newID(), "BEGIN READ", time.Second)
	if err != nil || !a.ok() {
		s.close()
		return openRead{}, fmt.Errorf("begin: %s %w", a.done, err)
	}
	return openRead{s, newID(), a.sentAt}, nil
}

func drainChannel(commits <-chan acknowledged) []acknowledged {
	var all []acknowledged
	for {
		select {
		case c := <-commits:
			all = append(all, c)
		default:
			return all
		}
	}
}

// judgeStale reports whether a read ran on a log that lacks a commit that was acknowledged
// more than the route's maxStalenessMs before the first byte of its transaction.
func (w *world) judgeStale(g *imitator.Group, reads []openRead, commits []acknowledged) (broken bool) {
	byID := map[string]openRead{}
	for _, r := range reads {
		byID[r.id] = r
	}
	ran, stale := 0, 0
	for _, run := range g.Executions() {
		r, found := byID[run.ID]
		if !found || run.Code != "" {
			continue
		}
		ran++
		needed := uint64(0)
		for _, c := range commits {
			if r.begunAt.Sub(c.at) > staleness {
				needed = max(needed, c.number)
			}
		}
		w.rec.addAt(run.At, "read %s ran at %s of %s with %d commits; %d are needed", run.ID, run.Server, g.Service, run.Received, needed)
		if run.Received < needed {
			stale++
		}
	}
	w.rec.say("%d of %d reads ran at %s, %d of them on a log that is too old", ran, len(reads), g.Service, stale)
	return stale > 0
}
