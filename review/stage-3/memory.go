package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playMemory lets the clients of two machines read an item with an answer of some MiB, one
// client after the other, each in a session that stays open. It ends each process that
// exceeds the memory of its machine, as the platform does.
func playMemory(r *record, trouble bool) (int, error) {
	const rowsPerAnswer = 12
	const clients = 19 // 292 sessions on 15 machines.
	row := strings.Repeat("x", 1<<20-64)
	f, err := newFleet(r, load{rate: usualRate, rows: func(string, string) []string {
		rows := make([]string, rowsPerAnswer)
		for i := range rows {
			rows[i] = strconv.Itoa(i) + row
		}
		return rows
	}})
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
	for _, n := range f.instances {
		r.add("%s is ready with %d MB", n.name, n.memory())
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
			readInTurn(r, n, round, clients, trouble)
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

// readInTurn opens sessions at the instance, and reads once in each, one after the other. All of
// them stay open until the last one has read, or close at once if stay is false.
func readInTurn(r *record, n *instance, round, clients int, stay bool) {
	for i := range clients {
		s, err := dial(n.front(), "bounded_staleness")
		if err != nil {
			r.add("round %d: client %d of %s has no session: %v", round, i, n.name, err)
			return
		}
		defer s.close()
		id := fmt.Sprintf("r%d-%s-%d", round, n.ip, i)
		a, err := s.query(id, "READ 1a4", 8*time.Second)
		r.add("%s: %s READ 1a4 -> code %q, %d rows, %d bytes, error %v; %d MB", n.name, id, a.code, a.rows, a.bytes, err, n.memory())
		if err != nil {
			return
		}
		if !stay {
			s.close()
		}
	}
}

// guardMemory ends the process when it exceeds the memory of its machine, and starts it
// again after a short delay, as the platform does.
func guardMemory(r *record, n *instance, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := n.memory()
		n.peakMB = max(n.peakMB, used)
		if used <= memoryMB {
			continue
		}
		n.overs.Add(1)
		r.add("%s uses %d MB of %d MB and is ended by the platform", n.name, used, memoryMB)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		if err := n.start(); err != nil {
			r.add("%s does not start again: %v", n.name, err)
			return
		}
	}
}
