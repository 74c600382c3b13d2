package replacer_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	readInterval = 90 * time.Millisecond
	// modelMaxStaleness is the staleness bound of the reads.
	modelMaxStaleness = 1500 * time.Millisecond
)

// modelRead is a read that a server has run.
type modelRead struct {
	arrived time.Time
	by      identifier.InstanceID
	at      identifier.BackendServerID
	floor   identifier.Position
	log     *modelCommit // Of the server at that time.
}

// leadershipChanged does what an instance does with a new record.
func (i *modelInstance) leadershipChanged(_ identifier.ServiceName, l cataloger.Leadership) {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if !l.IsReplacing() && l.Server != "" && l.Term > i.ledTerm {
		i.samples.Clear()
	}
}

// floor returns the position that a server must have reached to run a read, as
// package sessioner does.
func (i *modelInstance) floor(since time.Duration) (identifier.Position, bool) {
	sample, ok := i.samples.Floor(since)
	return sample.Position, ok
}

// read sends reads to all servers in turn.
func (i *modelInstance) read(done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(readInterval):
		}
		arrived := time.Now()
		floor, ok := i.floor(arrived.Sub(i.m.start) - modelMaxStaleness)
		i.pause()
		i.m.mu.Lock()
		s := i.m.servers[n%len(i.m.servers)]
		if ok && i.reaches(s) && s.log.has(floor) {
			i.m.reads = append(i.m.reads, modelRead{arrived, i.id, s.id, floor, s.log})
		}
		i.m.mu.Unlock()
	}
}

// checkReads checks that each read ran on a log with every commit that was
// acknowledged longer before than the staleness bound. Commits that a promotion
// discarded don't count, unless a later promotion brought them back.
func (m *model) checkReads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	acknowledged := m.acknowledged()
	for _, r := range m.reads {
		required := acknowledged.lastBefore(r.arrived.Add(-modelMaxStaleness))
		if !r.log.contains(required) {
			m.stale = append(m.stale, fmt.Sprintf("a read of %s at %v ran on server %s with floor %s, whose log ended at %s and lacked commit %s",
				r.by, r.arrived.Sub(m.start), r.at, r.floor, r.log.position(), required.position()))
		}
	}
}

// acknowledgements are the times at which a log got longer, as clients saw it.
type acknowledgements []acknowledgement

type acknowledgement struct {
	at     time.Time
	commit *modelCommit // The last one in the log that was acknowledged until then.
}

// acknowledged returns the acknowledgements of the commits that are in the log in the end.
func (m *model) acknowledged() acknowledgements {
	var all acknowledgements
	for c := m.primary.log; c != nil; c = c.previous {
		if !c.acked.IsZero() {
			all = append(all, acknowledgement{c.acked, c})
		}
	}
	slices.SortFunc(all, func(a, b acknowledgement) int { return a.at.Compare(b.at) })
	for i := 1; i < len(all); i++ {
		if last := all[i-1].commit; last.end.Offset > all[i].commit.end.Offset {
			all[i].commit = last
		}
	}
	return all
}

// lastBefore returns the last commit that was acknowledged before the time, nil if
// there is none.
func (a acknowledgements) lastBefore(t time.Time) *modelCommit {
	i, _ := slices.BinarySearchFunc(a, t, func(e acknowledgement, t time.Time) int { return e.at.Compare(t) })
	if i == 0 {
		return nil
	}
	return a[i-1].commit
}

// begin starts the process of an instance.
func (m *model) begin(i *modelInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	i.stop = func() {
		cancel()
		close(done)
	}
	i.replacer.LateLimit = m.lateLimit
	i.poll()
	m.running.Go(func() { i.follow(done) })
	m.running.Go(func() { i.write(done) })
	m.running.Go(func() { i.read(done) })
	m.running.Go(func() { i.replacer.Run(ctx) })
}

// restart kills the process of an instance and starts a new one after the time.
func (m *model) restart(number int, after time.Duration) {
	killed := m.all()[number]
	m.mu.Lock()
	wasDead := killed.dead
	killed.dead = true
	m.mu.Unlock()
	if wasDead {
		return // Another restart is under way.
	}
	killed.stop()
	time.Sleep(after)
	i := m.newInstance(number)
	m.mu.Lock()
	m.instances[number] = i
	m.mu.Unlock()
	m.begin(i)
}
