package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleanderpulley/platform/imitator"
)

const (
	lateClients  = 12
	lateLoadTime = 20 * time.Second
	// lateRepeatDelay is the time after which an answer is sent a second time.
	lateRepeatDelay = 10 * time.Second
	lateRepeatEvery = 100
	lateRate        = 1500
)

// foreignAnswer is an answer to a read with the row or the signature of another one.
type foreignAnswer struct {
	instance, id, item string
	at                 time.Duration
	answer             answer
}

// playLate lets clients read, each its own items, while the backends send the answer to one
// read of a hundred twice, the second time late.
func playLate(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, load{
		rate:     lateRate,
		capacity: imitator.Capacity{Slots: 3, QueueLimit: 20, StatementTime: 6 * time.Millisecond, ConnectTime: 12 * time.Millisecond},
		rows:     func(_, item string) []string { return []string{dataOf(item)} },
	})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	address, err := f.store.Start()
	if err != nil {
		return notRun, err
	}
	if err := f.addInstances(3, address); err != nil {
		return notRun, err
	}
	if err := f.start(); err != nil {
		return notRun, err
	}
	if trouble {
		for _, m := range f.members {
			repeatLate(r, m)
		}
	}
	var sent, refused atomic.Int64
	var mu sync.Mutex
	var foreign []foreignAnswer
	end := time.Now().Add(lateLoadTime)
	var tasks sync.WaitGroup
	for c := range lateClients {
		tasks.Go(func() {
			n := f.instances[c%len(f.instances)]
			s, err := dial(n.front(), "bounded_staleness")
			if err != nil {
				r.add("client %d has no session: %v", c, err)
				return
			}
			defer s.close()
			for i := 0; time.Now().Before(end); i++ {
				id, item := fmt.Sprintf("q%d-%d", c, i), fmt.Sprintf("k%d-%d", c, i)
				sent.Add(1)
				a, err := s.query(id, "READ "+item, 8*time.Second)
				if err != nil {
					r.add("%s: %s READ %s -> %v", n.name, id, item, err)
					return
				}
				if a.code != "" {
					refused.Add(1)
				} else if a.row != dataOf(item) {
					mu.Lock()
					foreign = append(foreign, foreignAnswer{n.name, id, item, time.Since(r.started), a})
					mu.Unlock()
				}
			}
		})
	}
	tasks.Wait()
	own := map[string]imitator.Execution{}
	for _, e := range f.group.Executions() {
		own[e.ID] = e
	}
	wrong := 0
	for _, a := range foreign {
		e := own[a.id]
		r.add("answered at %.3f s by %s: %s READ %s -> row %q, signature %s; the backend signed its own run with %s", a.at.Seconds(), a.instance,
			a.id, a.item, a.answer.row, a.answer.signature, e.Signature)
		if a.answer.signature != e.Signature {
			wrong++
		}
	}
	r.add("%d reads sent, %d refused or failed, %d answered with the row of another read, %d of them with its signature too",
		sent.Load(), refused.Load(), len(foreign), wrong)
	if len(foreign) > 0 {
		return broken, nil
	}
	return held, nil
}

func dataOf(item string) string {
	return "data-of-" + item
}

// repeatLate makes the backend send the answer to one read of a hundred a second time, late.
func repeatLate(r *record, m *imitator.Member) {
	reads := 0
	m.SetRepeat(func(id, text string) (imitator.Repeat, bool) {
		if !strings.Contains(text, "READ ") {
			return imitator.Repeat{}, false
		}
		reads++
		if reads%lateRepeatEvery != 0 {
			return imitator.Repeat{}, false
		}
		r.add("%s answers %s %s, and sends the answer again %v later", m.ID, id, text, lateRepeatDelay)
		return imitator.Repeat{Delay: lateRepeatDelay}, true
	})
}
