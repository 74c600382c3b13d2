package replacer_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// modelFault is a fault of one run.
type modelFault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int // Number of an instance or a server.
	// AfterSuccessor makes At count from the moment at which a record with a successor
	// is in the store.
	AfterSuccessor bool
}

// faultKinds has the faults of the primary twice, because only they make the
// instances replace it.
var faultKinds = []string{
	"crash", "crash", "primary cut", "primary cut", "sleep", "cut from peers", "cut from store", "cut from primary",
	"store away", "late promotions", "old copy",
}

// groupFaultKinds are the faults of a replacement that takes effect late, or of which
// an instance does not know.
var groupFaultKinds = []string{"deaf replica", "deaf replica", "crash replica", "drain", "restart"}

func drawFaults(t *rapid.T, kinds []string) []modelFault {
	one := rapid.Custom(func(t *rapid.T) modelFault {
		return modelFault{
			Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			At:       time.Duration(rapid.IntRange(2000, 25000).Draw(t, "at")) * time.Millisecond,
			Duration: time.Duration(rapid.IntRange(300, 9000).Draw(t, "duration")) * time.Millisecond,
			Target:   rapid.IntRange(0, modelInstances-1).Draw(t, "target"),
		}
	})
	return rapid.SliceOfN(one, 2, 9).Draw(t, "faults")
}

// awaitSuccessor waits until the record in the store has a successor, or the run ends.
func (m *model) awaitSuccessor() {
	for time.Since(m.start) < modelLength {
		m.mu.Lock()
		chosen := m.objects["record"].Successor != ""
		m.mu.Unlock()
		if chosen {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// holder returns the number of the instance that replaces the primary, by the record in
// the store.
func (m *model) holder() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.IndexFunc(m.instances, func(i *modelInstance) bool { return i.id == m.objects["record"].Holder })
}

func (m *model) inject(f modelFault) {
	if f.AfterSuccessor {
		m.awaitSuccessor()
	}
	time.Sleep(f.At)
	i := m.all()[f.Target]
	set := func(change func(on bool)) {
		m.mu.Lock()
		change(true)
		m.mu.Unlock()
		time.Sleep(f.Duration)
		m.mu.Lock()
		change(false)
		m.mu.Unlock()
	}
	switch f.Kind {
	case "sleep":
		awake := make(chan struct{})
		m.mu.Lock()
		i.awake = awake
		m.mu.Unlock()
		time.Sleep(f.Duration)
		close(awake)
	case "cut from peers":
		set(func(on bool) { i.cutPeers = on })
	case "cut from store":
		set(func(on bool) { i.cutStore = on })
	case "cut of the holder from store":
		if n := m.holder(); n >= 0 {
			i = m.all()[n]
			set(func(on bool) { i.cutStore = on })
		}
	case "cut from primary":
		set(func(on bool) {
			i.cutFrom = nil
			if on {
				i.cutFrom = m.primary
			}
		})
	case "crash":
		var s *modelServer
		set(func(on bool) {
			if on {
				s = m.primary
			}
			s.crashed = on
			s.leads = s.leads && s == m.primary
		})
	case "crash replica":
		s := m.replica(f.Target)
		set(func(on bool) { s.crashed = on })
	case "crash of a server":
		set(func(on bool) { m.servers[f.Target%len(m.servers)].crashed = on })
	case "crash of the successor":
		var s *modelServer
		set(func(on bool) {
			if on {
				s = m.server(m.objects["record"].Successor)
			}
			if s != nil {
				s.crashed = on
			}
		})
	case "deaf replica":
		s := m.replica(f.Target)
		set(func(on bool) { s.deaf = on })
	case "drain":
		var s *modelServer
		set(func(on bool) {
			if on {
				s = m.primary
			}
			s.draining = on
		})
	case "restart":
		m.restart(f.Target, f.Duration)
	case "restart of the holder":
		if n := m.holder(); n >= 0 {
			m.restart(n, f.Duration)
		}
	case "restart of others":
		for n := range modelInstances {
			if n != m.holder() {
				m.running.Go(func() { m.restart(n, f.Duration) })
			}
		}
	case "store away":
		set(func(on bool) { m.storeAway = on })
	case "unanswered promotion":
		m.mu.Lock()
		m.unanswered++
		m.lateBy = f.Duration + minLateness
		m.mu.Unlock()
	case "late promotions":
		set(func(on bool) { m.late = on })
	case "old copy":
		set(func(on bool) { m.storeAway = on })
		m.restore(4 * time.Second)
	case "primary cut":
		set(func(on bool) {
			m.cutServer, m.cutWith = nil, nil
			if on {
				m.cutServer, m.cutWith = m.primary, i
			}
			i.cutPeers, i.cutStore = on, on
		})
	}
}
