package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, from the first write.
const (
	drainAt   = 2 * time.Second
	deafAt    = 4 * time.Second
	deafFor   = 6500 * time.Millisecond // Largest dose of "replica_lag", how = "deaf crash".
	crashAt   = 6 * time.Second
	crashFor  = 5 * time.Second // Default of a crash.
	lostAfter = 16 * time.Second
	writers   = 6
	writeGap  = 50 * time.Millisecond
)

// playLost releases one replica, makes the other one deaf, and crashes the primary
// meanwhile. The rule LOST is checked at each promotion.
func playLost(w *world) (broken bool, err error) {
	primary, released, deaf := w.group.members[0], w.group.members[1], w.group.members[2]
	started := time.Now()
	var tasks sync.WaitGroup
	for i := range writers {
		tasks.Go(func() { w.write(i, started.Add(lostAfter)) })
	}
	at := func(d time.Duration) { time.Sleep(time.Until(started.Add(d))) }
	at(drainAt)
	released.drain()
	if w.trouble {
		at(deafAt)
		deaf.setDeaf(true)
		at(crashAt)
		primary.crash()
		at(min(deafAt+deafFor, crashAt+crashFor))
		deaf.setDeaf(false)
		at(crashAt + crashFor)
		if err := primary.restart(); err != nil {
			return false, err
		}
	}
	tasks.Wait()
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	fmt.Printf("%d writes acknowledged, %d of them lost\n", len(w.record.acked), len(w.record.lost))
	w.record.line("%d writes acknowledged, %d of them lost", len(w.record.acked), len(w.record.lost))
	if len(w.record.acked) == 0 {
		return false, errNotReady
	}
	return len(w.record.lost) > 0, nil
}

// write writes new items, one after the other, until the end.
func (w *world) write(writer int, end time.Time) {
	var c *client
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(writeGap)
		if c == nil {
			var err error
			if c, err = connect(w.instances[writer%len(w.instances)].client, primaryRoute, tenantKey); err != nil {
				c = nil
				continue
			}
		}
		id, item, data := newID(), fmt.Sprintf("w%d-%d", writer, n), fmt.Sprintf("d%d", n)
		w.record.event("client %d: sends QUERY %s WRITE %s %s", writer+1, id, item, data)
		a, err := c.query(id, "WRITE "+item+" "+data)
		switch {
		case err != nil:
			w.record.event("client: write %s %s: %v", id, item, err)
			_ = c.conn.Close()
			c = nil
		case a.code != "":
			w.record.event("client: write %s %s refused: %s", id, item, a.code)
		default:
			w.record.acknowledged(id, item, data, a.signature)
		}
	}
	if c != nil {
		c.close()
	}
}
