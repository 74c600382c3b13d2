package promoter_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

const service = identifier.ServiceName("s")

// disabledMechanisms selects safety mechanisms to disable, to show that the tests
// detect their absence.
type disabledMechanisms struct {
	rightsWait, checkAfterAnswer, majority, attemptID, history, floorRight bool
}

// instance is a promoter, a confirmer and a client that writes to a model.
type instance struct {
	promoter.Promoter
	name      string
	model     *model
	group     tracker.Group
	confirmer confirmer.Confirmer
	disabled  disabledMechanisms
	onStep    func(promoter.Event) // Called after each step; may block.
	peers     []*instance
	clockRate float64 // Rate of the instance's clock relative to virtual time.
}

// now returns the time by the instance's clock.
func (i *instance) now() time.Time {
	return epoch.Add(time.Duration(float64(time.Since(epoch)) * i.clockRate))
}

// epoch is the time at which synctest starts its virtual clock.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newInstance(m *model, name string, disabled disabledMechanisms) *instance {
	i := &instance{name: name, model: m, disabled: disabled, clockRate: 1}
	i.Now, i.confirmer.Now = i.now, i.now
	i.After = func(d time.Duration) <-chan time.Time { return time.After(time.Duration(float64(d) / i.clockRate)) }
	i.Instance = identifier.InstanceID(name)
	i.Group = func(identifier.ServiceName) *tracker.Group { return &i.group }
	i.Members = func(identifier.ServiceName) (all []promoter.Member) {
		for _, id := range m.servers {
			_, _, positionKnown := i.group.Status(id)
			if !disabled.majority || positionKnown {
				all = append(all, promoter.Member{Server: id, Address: string(id)})
			}
		}
		return all
	}
	i.Status = func(ctx context.Context, _ identifier.ServiceName, s identifier.BackendServerID) (tracker.MemberStatus, error) {
		return m.call(ctx, name, "status", s, func(*modelMember) error { return nil })
	}
	i.Fence = func(ctx context.Context, _ identifier.ServiceName, s identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error) {
		return m.call(ctx, name, "fence", s, func(s *modelMember) error { return s.fence(term, holder) })
	}
	i.Promote = func(ctx context.Context, _ identifier.ServiceName, s identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error) {
		return m.call(ctx, name, "promote", s, func(s *modelMember) error { return s.promote(term, holder) })
	}
	i.Follow = func(ctx context.Context, _ identifier.ServiceName, s identifier.BackendServerID, term identifier.Term, address string) (tracker.MemberStatus, error) {
		return m.call(ctx, name, "follow", s, func(s *modelMember) error {
			return s.follow(term, identifier.BackendServerID(address))
		})
	}
	i.ReadGroup = func(ctx context.Context, _ identifier.ServiceName) (promoter.GroupRecord, uint64, error) {
		return m.readGroup(ctx, name)
	}
	i.UpdateGroup = func(ctx context.Context, _ identifier.ServiceName, rec promoter.GroupRecord, v uint64) (uint64, error) {
		return m.updateGroup(ctx, name, rec, v)
	}
	i.PrimaryAnsweredPeer = func(_ context.Context, s identifier.ServiceName, term identifier.Term) (bool, error) {
		for _, peer := range i.peers {
			if m.isPartitioned(name + "/" + peer.name) {
				continue
			}
			if peer.PrimaryAnswered(s, term) {
				return true, nil
			}
		}
		return false, nil
	}
	i.Leaving = func(s identifier.BackendServerID) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.draining == s
	}
	i.Evacuated = func(s identifier.BackendServerID) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.evacuated[s]
	}
	i.NewAttemptID = func() string {
		if disabled.attemptID {
			return "attempt"
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lastAttempt++
		return fmt.Sprintf("%s-%d", name, m.lastAttempt)
	}
	if disabled.rightsWait {
		i.Times.RightsWait = time.Nanosecond
	}
	i.OnStep = func(e promoter.Event) {
		if i.onStep != nil {
			i.onStep(e)
		}
	}
	i.confirmer.SetMembers(service, m.servers)
	i.group.SetMembers(m.servers)
	if disabled.majority {
		i.confirmer.SetMembers(service, m.servers[:1])
	}
	return i
}

// runUntilDone samples every member and generates writes until the context ends.
func (i *instance) runUntilDone(ctx context.Context) {
	for _, id := range i.model.servers {
		go i.sampleMember(ctx, id)
	}
	go i.generateWrites(ctx)
	<-ctx.Done()
	i.Close()
}

// sampleMember observes the member's status periodically, as a prober does.
func (i *instance) sampleMember(ctx context.Context, id identifier.BackendServerID) {
	failures := 0
	answered := i.now()
	for ctx.Err() == nil {
		sent := i.now()
		var log []int
		st, err := i.model.call(ctx, i.name, "status", id, func(s *modelMember) error {
			log = slices.Clip(s.log)
			return nil
		})
		if err == nil {
			failures, answered = 0, sent
			if i.disabled.history {
				st.History = fabricateHistory(st)
			}
			i.confirmer.Observe(service, st, sent)
			i.group.Observe(st, sent, i.now())
			i.claim(id, st, log)
			i.Check(service)
			_ = sleep(ctx, 400*time.Millisecond)
			continue
		}
		i.group.Forget(id)
		if failures++; failures >= 3 {
			i.Suspect(service, id, answered)
		}
		_ = sleep(ctx, 200*time.Millisecond)
	}
}

// fabricateHistory returns a history with which the offsets of all terms seem
// comparable.
func fabricateHistory(st tracker.MemberStatus) (h []tracker.TermStart) {
	for term := identifier.Term(1); term <= st.Term; term++ {
		h = append(h, tracker.TermStart{Term: term, Offset: st.Received})
	}
	return h
}

// claim records the floor, the age and the coverage that the instance would
// report to sessions now.
func (i *instance) claim(id identifier.BackendServerID, st tracker.MemberStatus, log []int) {
	m := i.model
	if p, ok := i.group.Floor(i.now().Add(-100 * time.Millisecond)); ok && (i.disabled.floorRight || i.confirmer.Valid(service, p.Term)) {
		m.withLock(func() { m.floors = append(m.floors, claim{time.Now().Add(-101 * time.Millisecond), p}) })
	}
	if age, ok := i.group.Age(id, i.now()); ok {
		age += age/50 + time.Millisecond // Margin for the different clock rates.
		m.withLock(func() { m.ages = append(m.ages, claim{time.Now().Add(-age), st.Position()}) })
	}
	m.withLock(func() {
		for _, a := range m.acks[max(0, len(m.acks)-50):] {
			p := identifier.Position{Term: a.term, Offset: a.offset}
			if m.falseCoverage == "" && i.group.Covers(id, p) == tracker.Covered && (len(log) < int(a.offset) || log[a.offset-1] != a.id) {
				m.falseCoverage = fmt.Sprintf("%s in term %d is said to cover %s", id, st.Term, p)
			}
		}
	})
}

// generateWrites sends writes to the primary and acknowledges them under the
// conditions of a real instance.
func (i *instance) generateWrites(ctx context.Context) {
	for ctx.Err() == nil {
		i.model.mu.Lock()
		interval := 30*time.Millisecond + i.model.delay("pace"+i.name)/4
		i.model.mu.Unlock()
		_ = sleep(ctx, interval)
		server, term, ok := i.group.Primary()
		if !ok || !i.confirmer.Valid(service, term) {
			continue
		}
		i.model.mu.Lock()
		i.model.lastWriteID++
		id := i.model.lastWriteID
		i.model.mu.Unlock()
		var p identifier.Position
		_, err := i.model.call(ctx, i.name, "write", server, func(s *modelMember) (err error) {
			p, err = i.model.write(s, id)
			return err
		})
		if err != nil || p.Term != term || !i.disabled.checkAfterAnswer && !i.confirmer.Valid(service, term) {
			continue
		}
		i.acknowledge(id, p, false)
		if id%3 == 0 {
			go i.awaitDurable(ctx, id, p)
		}
	}
}

// awaitDurable acknowledges a write as durable once a majority has received it.
func (i *instance) awaitDurable(ctx context.Context, id int, p identifier.Position) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	required := len(i.model.servers)/2 + 1
	if i.disabled.majority {
		required = 1
	}
	for ctx.Err() == nil {
		changed := i.group.Changed()
		if i.group.CountReceived(p) >= required {
			i.acknowledge(id, p, true)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (i *instance) acknowledge(id int, p identifier.Position, durable bool) {
	i.model.withLock(func() {
		i.model.acks = append(i.model.acks, ack{id: id, term: p.Term, offset: p.Offset, durable: durable, at: time.Now()})
	})
}
