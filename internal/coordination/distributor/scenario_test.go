package distributor

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a version that is not in effect on some instance although all
// instances are alive.
func TestPatchTakesEffectEverywhere(t *testing.T) {
	requireNoViolations(t, []int{3, 4}, func(t *testing.T, sim *simulation) {
		start := time.Now()
		r, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Version, qt.Equals, sim.nodes["x00"].Status().Version)
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
		qt.Assert(t, time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("in effect after %v", time.Since(start)))
	})
}

// Guards against every change of a large configuration being sent as a whole,
// and against an instance that builds a wrong document from the delta.
func TestChangeIsSentAsDelta(t *testing.T) {
	requireNoViolations(t, []int{3}, func(t *testing.T, sim *simulation) {
		_, err := sim.nodes["x00"].Propose(t.Context(), Submission{Attempt: "a1", Apply: func(d *configurer.Document) (*configurer.Document, error) {
			next := *d
			next.Version, next.Keys = 1, map[identifier.KeyID]configurer.Key{}
			next.Workspaces = map[identifier.WorkspaceName]configurer.Workspace{"w": {Rate: 9, Burst: 1}}
			for i := range 8000 {
				next.Keys[identifier.KeyID(fmt.Sprint("k", i))] = configurer.Key{Workspace: "w", Hash: fmt.Sprintf("%064x", i)}
			}
			return &next, next.Validate()
		}})
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
		qt.Assert(t, sim.objects[kindRecord+"/"+sim.nodes["x00"].held.head.Accepted.partName(1)].Version > 0, qt.IsTrue, qt.Commentf("stored in parts"))
		sim.withLock(func() { sim.largest = 0; clear(sim.calls) })
		_, err = sim.nodes["x00"].patch(1, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(2) })
		var largest int
		sim.withLock(func() { largest = sim.largest })
		qt.Assert(t, largest < 5000, qt.IsTrue, qt.Commentf("%d bytes", largest))
		qt.Assert(t, rateOf(sim.nodes["x02"].held.accepted), qt.Equals, 2.0)
	})
}

// Guards against races that occur only with several processors in real time.
func TestRealTime(t *testing.T) {
	sim := newSimulation()
	for _, id := range []identifier.InstanceID{"x00", "x01", "x02", "y00"} {
		sim.start(id, identifier.DataCentre(id[:1]))
	}
	defer func() {
		for _, n := range sim.nodes {
			n.Close()
		}
	}()
	sim.await(t, 30*time.Second, func() bool { return sim.establishedCount() == 4 })
	_, err := sim.nodes["y00"].patch(0, "a1", 1)
	qt.Assert(t, err, qt.IsNil)
	sim.await(t, 10*time.Second, func() bool { return sim.inEffect(1) })
	sim.checkInvariants()
	qt.Assert(t, sim.violations, qt.HasLen, 0)
}

// Guards against a withdrawn key that some instance still accepts after
// seconds, also with a dead instance and a slow watch.
func TestWithdrawnKey(t *testing.T) {
	for _, dead := range []bool{false, true} {
		requireNoViolations(t, []int{3, 4}, func(t *testing.T, sim *simulation) {
			apply := func(attempt string, base identifier.ConfigVersion, patch string) {
				_, err := sim.nodes["x00"].Propose(t.Context(), Submission{Base: base, Attempt: attempt,
					Apply: func(d *configurer.Document) (*configurer.Document, error) { return d.MergePatch([]byte(patch)) }})
				qt.Assert(t, err, qt.IsNil)
			}
			apply("a1", 0, `{"workspaces":{"w":{"rate":1,"burst":1}},"keys":{"k":{"workspace":"w","hash":"`+configurer.HashKey("secret")+`"}}}`)
			sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
			sim.withLock(func() { sim.nodes["y01"].dead, sim.watchDelay = dead, 30*time.Second })
			go apply("a2", 1, `{"keys":{"k":null}}`)
			limit := time.Second // Live instances refuse the key once they have prepared the change.
			sim.await(t, limit, func() bool { return sim.admittingCount("w", "secret") == 0 })
			<-time.After(10 * time.Second)
			qt.Assert(t, sim.admittingCount("w", "secret"), qt.Equals, 0)
			sim.withLock(func() { sim.watchDelay = 0 })
		})
	}
}

// Guards against the changes of two operators to the same version both taking
// effect.
func TestTwoOperatorsRace(t *testing.T) {
	requireNoViolations(t, []int{3, 3}, func(t *testing.T, sim *simulation) {
		results := make(chan error, 2)
		go func() { _, err := sim.nodes["x00"].patch(0, "a1", 1); results <- err }()
		go func() { _, err := sim.nodes["y00"].patch(0, "a2", 2); results <- err }()
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		qt.Assert(t, first, qt.IsNil)
		var stale *StaleError
		qt.Assert(t, errors.As(second, &stale), qt.IsTrue, qt.Commentf("%v", second))
		qt.Assert(t, *stale, qt.Equals, StaleError{Base: 0, Accepted: 1})
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
	})
}

// Guards against a change that is applied twice or reported as failed after the
// platform's answer to an update of the head was lost, and against a repeated
// submission that does not return the recorded result.
func TestLostAnswer(t *testing.T) {
	for _, losing := range []int{1, 2} { // The opening and the acceptance.
		t.Run(fmt.Sprint(losing), func(t *testing.T) {
			requireNoViolations(t, []int{3}, func(t *testing.T, sim *simulation) {
				submitTwiceWithLostAnswer(t, sim, losing, nil)
			})
		})
	}
}

// Shows that the lost answer scenario fails without the check of the attempt
// id.
func TestAttemptIDIsNeeded(t *testing.T) {
	simulate(t, []int{3}, func(t *testing.T, sim *simulation) {
		for _, n := range sim.nodes {
			n.disabled.attempt = true
		}
		var stale *StaleError
		submitTwiceWithLostAnswer(t, sim, 2, func(err error) bool { return errors.As(err, &stale) })
	})
}

// submitTwiceWithLostAnswer loses the answer to the nth write of the head and
// submits the same change again through another instance.
func submitTwiceWithLostAnswer(t *testing.T, sim *simulation, losing int, repeated func(error) bool) {
	writes := 0
	sim.withLock(func() {
		sim.onWrite = func(_ *node, kind string, _ []byte, done bool) error {
			if kind != kindHead || !done {
				return nil
			}
			if writes++; writes == losing {
				return errUnreachable
			}
			return nil
		}
	})
	r, err := sim.nodes["x00"].patch(0, "a1", 1)
	qt.Assert(t, err, qt.IsNil)
	again, err := sim.nodes["x01"].patch(0, "a1", 1)
	if repeated != nil {
		qt.Assert(t, repeated(err), qt.IsTrue, qt.Commentf("%v", err))
		return
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, r)
	qt.Assert(t, writes, qt.Equals, 2)
	_, err = sim.nodes["x02"].patch(0, "a1", 7)
	qt.Assert(t, errors.Is(err, ErrAttemptIDReused), qt.IsTrue)
}

// Guards against a proposal that blocks all further changes because its
// proposer died, and against a partly applied change.
func TestProposerDies(t *testing.T) {
	for _, step := range []struct {
		name, kind string
		write      int // Which write of the kind.
		done       bool
		version    identifier.ConfigVersion // Accepted once the next change is in.
	}{
		{"before the record", kindRecord, 1, false, 1},
		{"after the record", kindRecord, 1, true, 1},
		{"before the opening", kindHead, 1, false, 1},
		{"after the opening", kindHead, 1, true, 1},
		{"before the acceptance", kindHead, 2, false, 1},
		{"after the acceptance", kindHead, 2, true, 2},
	} {
		t.Run(step.name, func(t *testing.T) {
			requireNoViolations(t, []int{3, 3}, func(t *testing.T, sim *simulation) {
				writes := 0
				sim.withLock(func() {
					sim.onWrite = func(n *node, kind string, _ []byte, done bool) error {
						if kind != step.kind || done != step.done || n != sim.nodes["x00"] {
							return nil
						}
						if writes++; writes == step.write {
							sim.withLock(func() { n.dead = true })
							return errUnreachable
						}
						return nil
					}
				})
				go func() { _, _ = sim.nodes["x00"].patch(0, "a1", 1) }()
				<-time.After(time.Second)
				_, err := sim.nodes["y00"].patch(step.version-1, "a2", 2)
				qt.Assert(t, err, qt.IsNil)
				sim.await(t, 5*time.Second, func() bool { return sim.inEffect(step.version) })
			})
		})
	}
}

// Guards against an instance that serves an old version after it was paused
// during an acceptance. Without the deadline it does.
func TestPausedInstanceRefuses(t *testing.T) {
	withAndWithout(t, []int{3}, func(t *testing.T, sim *simulation, without bool) {
		n := sim.nodes["x02"]
		n.disabled.deadline = without
		sim.withLock(func() { n.pausedUntil = make(chan struct{}) })
		start := time.Now()
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start) >= acceptanceWait, qt.IsTrue)
		sim.resume(n)
		sim.checkInvariants()
		sim.await(t, 5*time.Second, func() bool { return sim.inEffect(1) })
	})
}

// Guards against an isolated instance that extends its validity with fewer
// answers than a majority. Without the majority it serves the old version.
func TestIsolatedInstanceStops(t *testing.T) {
	withAndWithout(t, []int{4}, func(t *testing.T, sim *simulation, without bool) {
		n := sim.nodes["x03"]
		n.disabled.majority = without
		sim.withLock(func() { n.partition, n.noPlatform = 1, true })
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		<-time.After(10 * time.Second)
	})
}

// Guards against an instance that missed only the acceptance and still admits
// what the new version forbids. Without the joint view it does.
func TestJointViewCoversTheAcceptance(t *testing.T) {
	withAndWithout(t, []int{3}, func(t *testing.T, sim *simulation, without bool) {
		n := sim.nodes["x02"]
		n.disabled.joint = without
		heads := 0
		sim.withLock(func() {
			sim.onWrite = func(_ *node, kind string, _ []byte, done bool) error {
				if kind != kindHead || done {
					return nil
				}
				if heads++; heads == 2 {
					sim.withLock(func() { n.partition, n.noPlatform = 1, true })
				}
				return nil
			}
		})
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		<-time.After(Validity)
	})
}

// Guards against a slow watch, or a peer with an older head, that returns an
// instance to an older version. Without the order of revisions it does.
func TestOlderHeadIsIgnored(t *testing.T) {
	withAndWithout(t, []int{3}, func(t *testing.T, sim *simulation, without bool) {
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		n := sim.nodes["x01"]
		sim.await(t, time.Second, func() bool { return sim.inEffect(1) })
		old := n.stateFor("x")
		_, err = sim.nodes["x00"].patch(1, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, time.Second, func() bool { return sim.inEffect(2) })
		sim.checkInvariants()
		n.disabled.monotone = without
		_, err = n.Handle(t.Context(), "x02", *old)
		qt.Assert(t, err, qt.IsNil)
		sim.checkInvariants()
	})
}

// Guards against a data centre that stops serving because it is cut off, and
// against a change that is accepted without it.
func TestDataCentreCutOff(t *testing.T) {
	requireNoViolations(t, []int{3, 4}, func(t *testing.T, sim *simulation) {
		sim.withLock(func() {
			for _, n := range sim.nodes {
				if n.DataCentre == "y" {
					n.partition, n.noPlatform = 1, true
				}
			}
		})
		<-time.After(20 * time.Second)
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, refused.Reason, qt.Contains, "data centre y")
		qt.Assert(t, sim.servingCount(), qt.Equals, 7)
		sim.withLock(func() {
			for _, n := range sim.nodes {
				n.partition, n.noPlatform = 0, false
			}
		})
		<-time.After(5 * time.Second)
		_, err = sim.nodes["x00"].patch(0, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
	})
}

// Guards against a dead instance that blocks changes or stays in the roster.
func TestDeadInstance(t *testing.T) {
	requireNoViolations(t, []int{4, 3}, func(t *testing.T, sim *simulation) {
		sim.withLock(func() { sim.nodes["x01"].dead = true })
		start := time.Now()
		_, err := sim.nodes["y00"].patch(0, "a1", 1)
		qt.Assert(t, err, qt.IsNil)
		took := time.Since(start)
		qt.Assert(t, took > acceptanceWait && took < 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
		sim.await(t, 10*time.Second, func() bool { return len(sim.nodes["x00"].Status().Roster) == 3 })
		<-time.After(acceptanceWait + time.Second)
		start = time.Now()
		_, err = sim.nodes["y00"].patch(1, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	})
}

// Guards against a dead instance that is removed only after the validity,
// because the recovery of its rates then waits for the validity once more, and
// against the removal of an instance that is no longer listed but answers.
func TestDelistedInstance(t *testing.T) {
	requireNoViolations(t, []int{4, 3}, func(t *testing.T, sim *simulation) {
		sim.withLock(func() { sim.nodes["x01"].unlisted = true })
		<-time.After(10 * time.Second)
		qt.Assert(t, sim.nodes["x00"].Status().Roster, qt.HasLen, 4)
		sim.withLock(func() { sim.nodes["x01"].unlisted = false })
		<-time.After(5 * time.Second)
		sim.withLock(func() { sim.nodes["x01"].dead = true })
		sim.await(t, acceptanceWait, func() bool { return len(sim.nodes["x00"].Status().Roster) == 3 })
	})
}

// Guards against a platform outage that stops the service, and against a change
// whose outcome stays unknown after the outage.
func TestPlatformOutage(t *testing.T) {
	requireNoViolations(t, []int{1, 4}, func(t *testing.T, sim *simulation) {
		outage := func(down bool) {
			sim.withLock(func() {
				for _, n := range sim.nodes {
					n.noPlatform = down
				}
			})
		}
		sim.withLock(func() {
			sim.onWrite = func(_ *node, kind string, _ []byte, done bool) error {
				if kind == kindHead && done {
					go outage(true)
				}
				return nil
			}
		})
		_, err := sim.nodes["x00"].patch(0, "a1", 1) // The outage begins with the opening.
		var undecided *UndecidedError
		qt.Assert(t, errors.As(err, &undecided), qt.IsTrue, qt.Commentf("%v", err))
		var refused *RefusedError
		_, err = sim.nodes["y02"].patch(0, "a2", 2)
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		<-time.After(20 * time.Second)
		qt.Assert(t, sim.servingCount(), qt.Equals, 5)
		sim.withLock(func() { sim.onWrite = nil })
		outage(false)
		sim.await(t, 15*time.Second, func() bool {
			_, settled, _ := sim.nodes["y01"].AttemptResult(t.Context(), "a1")
			return settled
		})
		_, err = sim.nodes["y03"].patch(0, "a1", 1)
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		_, err = sim.nodes["y03"].patch(0, "a3", 3)
		qt.Assert(t, err, qt.IsNil)
	})
}

// Guards against an acceptance by a majority of a new roster that has no member
// in common with a majority of the previous roster, which can still confirm
// itself. Counted on the new roster alone, one half accepts the new version
// while the other still serves the old one.
func TestPreviousRosterIsCounted(t *testing.T) {
	withAndWithout(t, []int{3}, func(t *testing.T, sim *simulation, without bool) {
		sim.nodes["x00"].disabled.previous = without
		sim.withLock(func() {
			sim.onWrite = func(n *node, kind string, _ []byte, done bool) error {
				if kind == kindRoster && done && n.Instance == "x03" {
					sim.withLock(func() {
						for _, id := range []identifier.InstanceID{"x01", "x02"} {
							sim.nodes[id].partition, sim.nodes[id].noPlatform = 1, true
						}
					})
				}
				return nil
			}
		})
		sim.start("x03", "x")
		sim.await(t, 2*time.Second, func() bool { return len(sim.nodes["x00"].Status().Roster) == 4 })
		_, err := sim.nodes["x00"].patch(0, "a1", 1)
		qt.Assert(t, err == nil, qt.Equals, without, qt.Commentf("%v", err))
		qt.Assert(t, sim.servingCount(), qt.Equals, 4)
		sim.checkInvariants()
	})
}

// Guards against the removal of instances that are cut off but form a majority:
// they confirm each other and continue to serve.
func TestMajorityIsNotRemoved(t *testing.T) {
	requireNoViolations(t, []int{5}, func(t *testing.T, sim *simulation) {
		sim.withLock(func() {
			for _, id := range []identifier.InstanceID{"x00", "x01", "x04"} {
				sim.nodes[id].partition, sim.nodes[id].noPlatform, sim.nodes[id].unlisted = 1, true, true
			}
		})
		<-time.After(30 * time.Second)
		_, err := sim.nodes["x02"].patch(0, "a1", 1)
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, sim.nodes["x02"].Status().Roster, qt.HasLen, 5)
		qt.Assert(t, sim.servingCount(), qt.Equals, 5)
	})
}

// Guards against a draining instance that leaves the roster without a majority,
// and against changes that wait for a retired data centre.
func TestLeaveAndRetire(t *testing.T) {
	requireNoViolations(t, []int{2, 2}, func(t *testing.T, sim *simulation) {
		n := sim.nodes["x00"] // The lowest id: half of the roster is a majority only with it.
		qt.Assert(t, n.Leave(t.Context()), qt.IsNil)
		_, err := n.Current()
		qt.Assert(t, errors.Is(err, ErrNotCurrent), qt.IsTrue)
		sim.withLock(func() {
			n.dead = true
			sim.nodes["y00"].dead, sim.nodes["y01"].dead = true, true
		})
		_, err = sim.nodes["x01"].patch(0, "a1", 1)
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, refused.Reason, qt.Contains, "data centre y")
		qt.Assert(t, errors.Is(sim.nodes["x01"].Retire(t.Context(), "z"), ErrNoDataCentre), qt.IsTrue)
		qt.Assert(t, sim.nodes["x01"].Retire(t.Context(), "y"), qt.IsNil)
		_, err = sim.nodes["x01"].patch(0, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		sim.start("y02", "y")
		sim.await(t, 5*time.Second, func() bool { _, err := sim.nodes["y02"].Current(); return err == nil })
	})
}

// Guards against a data centre that cannot take changes after it lost most of
// its instances at once: retiring its roster lets the others join again.
func TestRetireRepairsALostMajority(t *testing.T) {
	requireNoViolations(t, []int{3, 2}, func(t *testing.T, sim *simulation) {
		sim.withLock(func() { sim.nodes["x00"].dead, sim.nodes["x01"].dead = true, true })
		_, err := sim.nodes["y00"].patch(0, "a1", 1)
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, refused.Reason, qt.Contains, "data centre x")
		qt.Assert(t, sim.nodes["y00"].Retire(t.Context(), "x"), qt.IsNil)
		sim.await(t, 5*time.Second, func() bool { return len(sim.nodes["x02"].Status().Roster) == 1 && sim.servingCount() == 3 })
		_, err = sim.nodes["y00"].patch(0, "a2", 2)
		qt.Assert(t, err, qt.IsNil)
		sim.await(t, 2*time.Second, func() bool { return sim.inEffect(1) })
	})
}
