package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playLarge lets one client of each of two machines read, four times, an item with an answer of
// many rows. It ends each process that exceeds the memory of its machine, as the platform
// does.
func playLarge(r *record, trouble bool) (int, error) {
	rowsPerAnswer := 90_000
	if !trouble {
		rowsPerAnswer = 1_000
	}
	row := strings.Repeat("x", 1000)
	rows := make([]string, rowsPerAnswer)
	for i := range rows {
		rows[i] = strconv.Itoa(i) + row
	}
	f, err := newFleet(r, load{rate: usualRate, rows: func(string, string) []string { return rows }})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	address, err := f.store.Start()
	if err != nil {
		return notRun, err
	}
	if err := f.addInstances(2, address); err != nil {
		return notRun, err
	}
	if err := f.start(); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for _, n := range f.instances {
		tasks.Go(func() { guardMemory(r, n, stop) })
	}
	for round := range 4 {
		for _, n := range f.instances {
			for !n.isReady() {
				time.Sleep(50 * time.Millisecond)
			}
			readOnce(r, n, round)
		}
		time.Sleep(time.Second)
	}
	close(stop)
	tasks.Wait()
	code := broken
	for _, n := range f.instances {
		r.add("%s exceeded %d MB and was ended %d times; highest %d MB", n.name, memoryMB, n.overs.Load(), n.peakMB)
		if n.overs.Load() < overLimit {
			code = held
		}
	}
	return code, nil
}

// readOnce opens a session at the instance, reads once and closes the session.
func readOnce(r *record, n *instance, round int) {
	s, err := dial(n.front(), "bounded_staleness")
	if err != nil {
		r.add("round %d: the client of %s has no session: %v", round, n.name, err)
		return
	}
	defer s.close()
	id, before, sent := fmt.Sprintf("r%d-%s", round, n.ip), n.memory(), time.Now()
	a, err := s.query(id, "READ 1a4", 8*time.Second)
	r.add("%s: %s READ 1a4 -> code %q, %d rows, %d bytes, error %v after %d ms; %d MB before", n.name, id, a.code, a.rows, a.bytes, err,
		time.Since(sent).Milliseconds(), before)
}
