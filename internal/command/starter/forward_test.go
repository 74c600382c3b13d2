package starter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/sessioner"
)

// Guards against statements that need the primary and are sent again and again to
// a home without a recent proof, and against a home that is avoided for other
// statements or after it has a recent proof again.
func TestHomeWithoutARecentProofIsAvoidedForPrimaries(t *testing.T) {
	var p homePlans
	first := func(primary bool) identifier.InstanceID {
		homes := []cataloger.Instance{{ID: "one"}, {ID: "two"}}
		homes = p.avoidedLast(homes, primary)
		return homes[0].ID
	}
	write := sessioner.ForwardRequest{Writes: true}
	unreached := requester.Result{Code: requester.Overloaded, Unreached: true}
	p.observeReply("one", write, sessioner.ForwardReply{Result: unreached})
	qt.Assert(t, first(true), qt.Equals, identifier.InstanceID("one"))
	p.observeReply("one", write, sessioner.ForwardReply{Result: unreached, Unproven: true})
	qt.Assert(t, first(true), qt.Equals, identifier.InstanceID("two"))
	qt.Assert(t, first(false), qt.Equals, identifier.InstanceID("one"))
	p.observeReply("one", sessioner.ForwardRequest{Route: sessioner.ForwardedRoute{Consistency: cataloger.BoundedStaleness}}, sessioner.ForwardReply{})
	p.observeReply("one", write, sessioner.ForwardReply{Refused: true})
	qt.Assert(t, first(true), qt.Equals, identifier.InstanceID("two"))
	p.observeReply("one", write, sessioner.ForwardReply{})
	qt.Assert(t, first(true), qt.Equals, identifier.InstanceID("one"))
}

// Guards against writes of unknown outcome that are sent to a draining home just before its process ends.
func TestHomeThatRefusesIsAvoided(t *testing.T) {
	var p homePlans
	isFirst := func(primary bool) bool {
		homes := p.avoidedLast([]cataloger.Instance{{ID: "one"}, {ID: "two"}}, primary)
		return homes[0].ID == "one"
	}
	write := sessioner.ForwardRequest{Writes: true}
	p.observeReply("one", write, sessioner.ForwardReply{Refused: true})
	qt.Assert(t, isFirst(true), qt.IsFalse)
	qt.Assert(t, isFirst(false), qt.IsFalse)
	inOpenTransaction := sessioner.ForwardRequest{Writes: true, Transaction: 7}
	p.observeReply("one", inOpenTransaction, sessioner.ForwardReply{})
	qt.Assert(t, isFirst(false), qt.IsFalse)
	p.observeReply("one", write, sessioner.ForwardReply{})
	qt.Assert(t, isFirst(true), qt.IsTrue)
	qt.Assert(t, isFirst(false), qt.IsTrue)
}

// Guards against a home that refuses what only the primary can run because its
// proof is too old, although another home may have a recent one.
func TestHomeWithoutARecentProofForwards(t *testing.T) {
	now := time.Hour
	s := &Starter{}
	s.Settings.InstanceID = "one"
	s.holder.Now = func() time.Duration { return now }
	s.holder.Replace(&cataloger.Catalog{})
	s.holder.SetProof(now)
	s.fencer.Holder = &s.holder
	homes := []cataloger.Instance{{ID: "two"}, {ID: "one"}}
	qt.Assert(t, s.runsItself(homes, true), qt.IsTrue)
	now += fencer.Validity + 1
	qt.Assert(t, s.runsItself(homes, true), qt.IsFalse)
	qt.Assert(t, s.runsItself(homes, false), qt.IsTrue)
}
