package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, from the first write.
const (
	releaseAt = 2 * time.Second
	lateBy    = 4 * time.Second // Of the promotion call that gets no answer: "seconds later".
	lateAfter = 12 * time.Second
)

// playLate releases the primary. The platform doesn't answer the first promotion
// call that follows and executes it four seconds later. The rule ONE is checked at
// each acknowledged write.
func playLate(w *world) (broken bool, err error) {
	primary := w.group.members[0]
	started := time.Now()
	var tasks sync.WaitGroup
	for i := range writers {
		tasks.Go(func() { w.write(i, started.Add(lateAfter)) })
	}
	time.Sleep(time.Until(started.Add(releaseAt)))
	if w.trouble {
		w.store.DelayPromotions(1, lateBy)
	}
	primary.drain()
	tasks.Wait()
	for _, p := range w.store.Promotions() {
		w.record.event("platform: got POST /promote %s from %s with token %d", p.Server, p.Holder, p.Token)
	}
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	summary := fmt.Sprintf("%d writes acknowledged, %d of them committed at a replaced primary", len(w.record.acked), w.record.twoLed)
	fmt.Println(summary)
	w.record.line("%s", summary)
	if len(w.record.acked) == 0 {
		return false, errNotReady
	}
	return w.record.twoLed > 0, nil
}
