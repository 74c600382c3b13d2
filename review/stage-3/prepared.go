package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shapeBytes is the size of the shape of a prepared statement.
const shapeBytes = 96 << 10

// playPrepared lets clients of two of four machines prepare a statement, execute it, and deallocate
// it, again and again, each time with another shape. No client has more than one prepared
// statement at a time. It ends each process that exceeds the memory of its machine, as the
// platform does.
func playPrepared(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, load{rate: usualRate})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	address, err := f.store.Start()
	if err != nil {
		return notRun, err
	}
	if err := f.addInstances(4, address); err != nil {
		return notRun, err
	}
	if err := f.start(); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var guards, clients sync.WaitGroup
	var count atomic.Int64
	used := []*instance{f.instances[0], f.instances[3]} // In the zone of the primary.
	for _, n := range used {
		r.add("%s is ready with %d MB", n.name, n.memory())
		guards.Go(func() { guardMemory(r, n, stop) })
		for i := range 4 {
			clients.Go(func() { prepareAgain(r, n, i, trouble, &count, stop) })
		}
	}
	code := broken
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end) && !allOver(used); time.Sleep(time.Second) {
		r.add("%d statements prepared, executed and deallocated; %d and %d MB", count.Load(), used[0].memory(), used[1].memory())
	}
	close(stop)
	clients.Wait()
	guards.Wait()
	for _, n := range used {
		r.add("%s exceeded %d MB and was ended %d times; highest %d MB", n.name, memoryMB, n.overs.Load(), n.peakMB)
		if n.overs.Load() < overLimit {
			code = held
		}
	}
	return code, nil
}

// prepareAgain prepares, executes and deallocates statements until the stop.
func prepareAgain(r *record, n *instance, number int, trouble bool, count *atomic.Int64, stop <-chan struct{}) {
	filler := strings.Repeat("q", shapeBytes)
	for session := 0; ; session++ {
		select {
		case <-stop:
			return
		default:
		}
		s, err := dial(n.front(), "read_own_writes")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for i := 0; err == nil; i++ {
			select {
			case <-stop:
				s.close()
				return
			default:
			}
			shape := "q2c" + filler
			if trouble {
				shape = fmt.Sprintf("q%d-%d-%d%s", number, session, i, filler)
			}
			id := fmt.Sprintf("p%s-%d-%d-%d", n.ip, number, session, i)
			if err = prepareOnce(s, id, shape); err == nil {
				count.Add(1)
			}
		}
		s.close()
		r.add("%s: session %d of client %d ends: %v", n.name, session, number, err)
	}
}

// prepareOnce prepares, executes and deallocates one statement. A refusal is none of
// the execution of a prepared statement.
func prepareOnce(s *session, id, shape string) error {
	for _, text := range []string{"PREPARE s1 READ " + shape, "EXECUTE s1 1a4", "DEALLOCATE s1"} {
		a, err := s.query(id, text, 4*time.Second)
		if err != nil {
			return err
		}
		if a.code != "" && !strings.HasPrefix(text, "EXECUTE") {
			return fmt.Errorf("%.20s: %s", text, a.code)
		}
	}
	return nil
}

// allOver reports whether each process was ended as often as the rule counts.
func allOver(instances []*instance) bool {
	for _, n := range instances {
		if n.overs.Load() < overLimit {
			return false
		}
	}
	return true
}
