package replacer_test

import (
	"context"
	"fmt"
	"time"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
)

type modelInstance struct {
	m        *model
	id       identifier.InstanceID
	holder   cataloger.Holder
	fencer   fencer.Fencer
	replacer replacer.Replacer
	awake    chan struct{} // Closed while the instance is awake.
	cutPeers bool
	cutStore bool
	cutFrom  *modelServer // A server that the instance does not reach.
	lastLed  time.Time
	ledBy    identifier.BackendServerID
	ledTerm  identifier.Term
	samples  sampler.Sampler
	stop     func() // Ends the process of the instance.
	dead     bool
}

func (m *model) newInstance(number int) *modelInstance {
	i := &modelInstance{m: m, id: identifier.InstanceID(fmt.Sprint("i", number)), awake: make(chan struct{})}
	close(i.awake)
	i.holder.Now = func() time.Duration { return time.Since(m.start) }
	i.holder.Replace(m.catalog(nil))
	i.fencer.Holder = &i.holder
	i.fencer.OnChange = i.leadershipChanged
	r := &i.replacer
	r.Self = i.id
	r.Catalog = i.holder.Catalog
	r.Record = i.fencer.Record
	r.Adopt = func(s identifier.ServiceName, l cataloger.Leadership) { i.fencer.Observe(s, l) }
	r.Clock = i.holder.Clock
	r.Era = i.fencer.Era
	r.IsProven = i.fencer.IsProven
	r.Validity = fencer.Validity
	if m.defect == noWait {
		r.Validity = 0
	}
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return i.ledBy, i.ledTerm, i.lastLed
	}
	r.Confirm = func(b cataloger.BackendServer) error { return i.confirm(b.ID) }
	r.Status = func(b cataloger.BackendServer) (requester.ServerStatus, error) { return i.status(b.ID, 0) }
	r.StepDown = func(b cataloger.BackendServer, term identifier.Term) (requester.ServerStatus, error) {
		return i.status(b.ID, term)
	}
	r.QueryPeers = i.queryPeers
	r.Members = func(context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
		i.pause()
		if !i.reachesStore() {
			return nil, errModelDown
		}
		return m.catalog(nil).Instances, nil
	}
	r.ReadRecord = i.readRecord
	r.WriteRecord = i.writeRecord
	r.Revoke = i.revoke
	r.Announce = i.announce
	r.TokensChecked = m.fenced
	r.Promote = i.promote
	return i
}

// pause waits while the instance sleeps, and for the delay of a message.
func (i *modelInstance) pause() {
	i.m.mu.Lock()
	awake := i.awake
	i.m.mu.Unlock()
	<-awake
	i.m.delay()
	i.m.mu.Lock()
	awake = i.awake
	i.m.mu.Unlock()
	<-awake
}

func (i *modelInstance) reachesStore() bool {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return !i.cutStore && !i.m.storeAway
}

func (i *modelInstance) reachesPeer(o *modelInstance) bool {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return !i.cutPeers && !o.cutPeers && !i.dead && !o.dead
}

// reaches reports whether the instance reaches the server. The caller holds mu.
func (i *modelInstance) reaches(s *modelServer) bool {
	if s.crashed || s == i.cutFrom {
		return false
	}
	return i.m.cutServer == nil || (i == i.m.cutWith) == (s == i.m.cutServer)
}

func (i *modelInstance) confirm(id identifier.BackendServerID) error {
	permit, permitted := i.fencer.Permit(modelService)
	sent := time.Now()
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	reached, leads := i.reaches(s), s.leads
	term, end := s.term, s.log.position()
	i.m.mu.Unlock()
	i.pause()
	if !reached {
		return errModelDown
	}
	if !leads {
		return fencer.ErrNotLeading
	}
	if permitted && permit.Allows(id) && i.fencer.IsHeld(permit) {
		i.recordLed(id, term, end, sent)
	}
	return nil
}

// recordLed records that the server led when it reported the end of its log.
func (i *modelInstance) recordLed(id identifier.BackendServerID, term identifier.Term, end identifier.Position, sent time.Time) {
	i.samples.Add(sampler.Sample{Position: end, RequestedAt: sent.Sub(i.m.start)})
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if term >= i.ledTerm {
		i.ledBy, i.ledTerm, i.lastLed = id, term, sent
	}
}

func (i *modelInstance) status(id identifier.BackendServerID, stepDown identifier.Term) (requester.ServerStatus, error) {
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	if !i.reaches(s) {
		i.m.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		return requester.ServerStatus{}, errModelDown
	}
	if stepDown > s.term {
		s.leads = false
	}
	answer := requester.ServerStatus{Leads: s.leads, Term: s.term, Received: s.log.position()}
	i.m.mu.Unlock()
	i.pause()
	return answer, nil
}

func (i *modelInstance) queryPeers(_ context.Context, _ identifier.ServiceName, since time.Time) replacer.PeerSightings {
	i.pause()
	result := replacer.PeerSightings{Asked: modelInstances - 1}
	for _, o := range i.m.all() {
		if o.id == i.id || !i.reachesPeer(o) {
			continue
		}
		i.m.mu.Lock()
		result.Answered++
		result.Led = result.Led || o.lastLed.After(since)
		i.m.mu.Unlock()
	}
	return result
}

func (i *modelInstance) revoke(_ context.Context, id identifier.InstanceID, _ identifier.ServiceName, l cataloger.Leadership) bool {
	o := i.m.instance(id)
	i.pause()
	if !i.reachesPeer(o) {
		time.Sleep(250 * time.Millisecond)
		return false
	}
	confirmed := make(chan cataloger.Leadership, 1)
	go func() {
		o.pause()
		confirmed <- o.fencer.Observe(modelService, l)
	}()
	select {
	case r := <-confirmed:
		return r.Revision == l.Revision && r.Holder == l.Holder
	case <-time.After(250 * time.Millisecond):
		return false
	}
}

func (i *modelInstance) announce(_ identifier.ServiceName, l cataloger.Leadership) {
	for _, o := range i.m.all() {
		go func() {
			if o.id != i.id && i.reachesPeer(o) {
				o.pause()
				o.fencer.Observe(modelService, l)
			}
		}()
	}
}

func (i *modelInstance) promote(_ context.Context, _ identifier.ServiceName, id identifier.BackendServerID, l cataloger.Leadership) error {
	if i.m.isDead(i) {
		return replacer.ErrPromotionUnknown // An ended process requests nothing.
	}
	i.m.mu.Lock()
	token := l.Token()
	if holder, used := i.m.tokens[token]; used && holder != i.id {
		i.m.broken = append(i.m.broken, fmt.Sprintf("token %d was used by %s and %s", token, holder, i.id))
	}
	if token < i.m.highest {
		i.m.broken = append(i.m.broken, fmt.Sprintf("token %d of %s is lower than %d", token, i.id, i.m.highest))
	}
	i.m.tokens[token], i.m.highest = i.id, max(i.m.highest, token)
	late, lateBy := i.m.late, minLateness
	if !late && i.m.unanswered > 0 {
		i.m.unanswered--
		late, lateBy = true, i.m.lateBy
	}
	i.m.mu.Unlock()
	if late {
		time.AfterFunc(lateBy, func() { i.m.executePromotion(id) })
		time.Sleep(1500 * time.Millisecond)
		return replacer.ErrPromotionUnknown
	}
	i.m.delay()
	if !i.m.executePromotion(id) {
		return replacer.ErrPromotionRefused
	}
	i.pause()
	return nil
}

// write sends writes to the server that the instance takes for the primary.
func (i *modelInstance) write(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(120 * time.Millisecond):
		}
		i.replacer.RecordUse(modelService)
		permit, ok := i.fencer.Permit(modelService)
		if !ok {
			continue
		}
		i.m.mu.Lock()
		target := i.ledBy
		i.m.mu.Unlock()
		if r := i.fencer.Record(modelService); r.Server != "" {
			target = r.Server
		}
		if target == "" {
			_ = i.confirm("a")
			continue
		}
		if permit.Allows(target) {
			i.writeTo(target, permit)
		}
	}
}

func (i *modelInstance) writeTo(id identifier.BackendServerID, permit fencer.Permit) {
	sent := time.Now()
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	if !i.reaches(s) || !s.leads {
		i.m.mu.Unlock()
		return
	}
	commit := i.m.commit(s)
	replaced := s != i.m.primary
	term := s.term
	i.m.mu.Unlock()
	i.pause()
	if !i.fencer.IsHeld(permit) && i.m.defect != noRecheck {
		return
	}
	if i.m.isDead(i) {
		return
	}
	i.recordLed(id, term, commit.position(), sent)
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	i.m.acked++
	commit.acked = time.Now()
	if replaced {
		i.m.broken = append(i.m.broken, fmt.Sprintf("%s acknowledged at %v a write that replaced primary %s ran, primary %s",
			i.id, time.Since(i.m.start), id, i.m.primary.id))
	}
}
