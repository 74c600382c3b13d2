package replacer_test

import (
	"context"
	"math/rand/v2"
	"time"

	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

type storeCopy struct {
	at     time.Duration
	record *cataloger.Leadership
	number uint64
}

func (i *modelInstance) readRecord(context.Context, identifier.ServiceName) (cataloger.Leadership, error) {
	i.pause()
	defer i.pause()
	if !i.reachesStore() {
		return cataloger.Leadership{}, errModelDown
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	l, ok := i.m.objects["record"]
	if !ok {
		return l, replacer.ErrNoRecord
	}
	l.Revision.Era = i.m.era
	return l, nil
}

func (i *modelInstance) writeRecord(_ context.Context, _ identifier.ServiceName, l cataloger.Leadership) (cataloger.Leadership, error) {
	i.pause()
	defer i.pause()
	if !i.reachesStore() {
		return cataloger.Leadership{}, errModelDown
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	stored, ok := i.m.objects["record"]
	if l.Revision.IsZero() == ok || (ok && stored.Revision.Number != l.Revision.Number) {
		return cataloger.Leadership{}, replacer.ErrRecordChanged
	}
	sameEra := l.Revision.IsZero() || l.Revision.Era == i.m.era
	i.m.number += i.m.numbering.next()
	l.Revision, l.Carried = cataloger.Revision{Number: i.m.number}, false // The store does not keep Carried.
	i.m.objects["record"] = l
	i.m.saveCopy()
	if !sameEra {
		return cataloger.Leadership{}, replacer.ErrRecordChanged
	}
	l.Revision.Era = i.m.era
	return l, nil
}

func (m *model) saveCopy() {
	c := storeCopy{at: time.Since(m.start), number: m.number}
	if l, ok := m.objects["record"]; ok {
		c.record = &l
	}
	m.copies = append(m.copies, c)
}

// modelNumbering is how a store numbers its changes.
type modelNumbering struct {
	first, era uint64
	steps      *rand.Rand // Nil for steps of one.
}

func (n modelNumbering) next() uint64 {
	if n.steps == nil {
		return 1
	}
	return 1 + n.steps.Uint64N(1<<n.steps.IntN(32))
}

// drawNumbering returns the numbering of the seed: a half of the stores count from 10 by
// one, and the others as the pages allow.
func drawNumbering(seed uint64) modelNumbering {
	random := rand.New(rand.NewPCG(seed, 2))
	others := []modelNumbering{
		{1_796_000_000_000, 0, nil}, {1<<40 - 12, 0, nil}, {1<<40 - 12, 3, random}, {1 << 63, 1_796_000_000, random}, {10, 1<<24 - 1, random},
	}
	if random.IntN(2) == 0 {
		return modelNumbering{first: 10}
	}
	return others[random.IntN(len(others))]
}

// restore brings the content of the store back from the newest copy that is at
// least as old as the age.
func (m *model) restore(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found storeCopy
	found.number = m.numbering.first
	for _, c := range m.copies {
		if c.at <= time.Since(m.start)-age {
			found = c
		}
	}
	delete(m.objects, "record")
	if found.record != nil {
		m.objects["record"] = *found.record
	}
	m.number = found.number
	m.era++
	m.copies = nil
	m.saveCopy()
}

// follow polls the store, as package follower does.
func (i *modelInstance) follow(done <-chan struct{}) {
	for {
		i.poll()
		i.m.mu.Lock()
		jitter := time.Duration(i.m.random.IntN(200)) * time.Millisecond
		i.m.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(pollPeriod - jitter):
		}
	}
}

func (i *modelInstance) poll() {
	sent := i.holder.Clock()
	i.pause()
	if !i.reachesStore() {
		return
	}
	i.m.mu.Lock()
	records := map[identifier.ServiceName]cataloger.Leadership{}
	if l, ok := i.m.objects["record"]; ok {
		l.Revision.Era = i.m.era
		records[modelService] = l
	}
	era := i.m.era
	i.m.mu.Unlock()
	i.pause()
	if era < i.fencer.Era() {
		return
	}
	if era > i.fencer.Era() && i.m.defect != noEra && i.fencer.BeginEra(era, replacer.TakeoverTimeout) {
		go i.collectRecords(era)
	}
	c := i.m.catalog(records)
	c.Revision = cataloger.Revision{Era: era, Number: 1}
	i.holder.Replace(c)
	i.fencer.ObserveAll(c)
	i.holder.SetProof(sent)
}

// collectRecords does what an instance does when the store came back from a
// copy.
func (i *modelInstance) collectRecords(era uint64) {
	for _, o := range i.m.all() {
		if o.id == i.id {
			continue
		}
		if !i.reachesPeer(o) {
			return // The suspension ends by itself.
		}
		o.pause()
		o.fencer.BeginEra(era, replacer.TakeoverTimeout)
		for service, l := range o.fencer.Records() {
			i.fencer.Observe(service, l)
		}
	}
	i.fencer.Resume(era)
}
