package confirmer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/confirmer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

type memberAnswer struct {
	server         identifier.BackendServerID
	role           tracker.Role
	term, promised identifier.Term
	sent           int // Milliseconds.
}

const (
	primary = tracker.Primary
	replica = tracker.Replica
)

// Guards against a write right that is not proven by the primary and a majority,
// or that lasts longer than its proof.
func TestValid(t *testing.T) {
	base := time.Now()
	for _, tc := range []struct {
		name         string
		observations []memberAnswer
		now          int
		want         bool
	}{
		{"primary and one of two replicas", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 1, 100}}, 1499, true},
		{"counted from before the oldest query", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 1, 100}}, 1500, false},
		{"majority is as old as its oldest answer", []memberAnswer{{"a", primary, 1, 1, 900}, {"b", replica, 1, 1, 100}}, 1600, false},
		{"third member renews the majority", []memberAnswer{{"a", primary, 1, 1, 900}, {"b", replica, 1, 1, 100}, {"c", replica, 1, 1, 800}}, 2200, true},
		{"primary alone", []memberAnswer{{"a", primary, 1, 1, 0}}, 10, false},
		{"no primary", []memberAnswer{{"b", replica, 1, 1, 0}, {"c", replica, 1, 1, 0}}, 10, false},
		{"primary has promised a newer term", []memberAnswer{{"a", primary, 1, 2, 0}, {"b", replica, 1, 1, 0}, {"c", replica, 1, 1, 0}}, 10, false},
		{"majority has promised a newer term", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 2, 0}, {"c", replica, 1, 2, 0}}, 10, false},
		{"newer promise cancels the older answer", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 1, 1}, {"b", replica, 1, 2, 2}}, 10, false},
		{"one newer promise leaves a majority", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 2, 0}, {"c", replica, 1, 1, 0}}, 10, true},
		{"log of a newer term seen", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 1, 0}, {"c", replica, 2, 2, 0}}, 10, false},
		{"late answer to an older query", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 2, 5}, {"b", replica, 1, 1, 1}}, 10, false},
		{"promise lost in a restart", []memberAnswer{{"a", primary, 1, 1, 0}, {"b", replica, 1, 2, 1}, {"b", replica, 1, 1, 5}}, 10, false},
		{"member of another group", []memberAnswer{{"a", primary, 1, 1, 0}, {"x", replica, 1, 1, 0}}, 10, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := base
			c := &confirmer.Confirmer{Now: func() time.Time { return now }}
			c.SetMembers("s", []identifier.BackendServerID{"a", "b", "c"})
			for _, o := range tc.observations {
				st := tracker.MemberStatus{Server: o.server, Role: o.role, Term: o.term, Promised: o.promised}
				c.Observe("s", st, base.Add(time.Duration(o.sent)*time.Millisecond))
			}
			now = base.Add(time.Duration(tc.now) * time.Millisecond)
			qt.Assert(t, c.Valid("s", 1), qt.Equals, tc.want)
			qt.Assert(t, c.Valid("s", 2), qt.IsFalse)
			qt.Assert(t, c.Valid("other", 1), qt.IsFalse)
		})
	}
}

// Guards against allocations and lock contention in Valid, which is called for
// every statement.
func BenchmarkValid(b *testing.B) {
	var c confirmer.Confirmer
	c.SetMembers("s", []identifier.BackendServerID{"a"})
	c.Observe("s", tracker.MemberStatus{Server: "a", Role: primary, Term: 1, Promised: 1}, time.Now())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Valid("s", 1)
		}
	})
}

// Guards against a write right that outlives its proof because the clock stopped while the host was suspended.
func TestRightEndsWithASuspension(t *testing.T) {
	var wake time.Time
	now := time.Now()
	c := confirmer.Confirmer{Now: func() time.Time { return now }, LastWake: func() time.Time { return wake }}
	c.SetMembers("rentals", []identifier.BackendServerID{"a", "b", "c"})
	answer := func(sent time.Time) {
		c.Observe("rentals", tracker.MemberStatus{Server: "a", Role: primary, Term: 1, Promised: 1}, sent)
		c.Observe("rentals", tracker.MemberStatus{Server: "b", Role: replica, Term: 1, Promised: 1}, sent)
	}
	answer(now)
	qt.Assert(t, c.Valid("rentals", 1), qt.IsTrue)
	wake = now.Add(time.Millisecond)
	qt.Assert(t, c.Valid("rentals", 1), qt.IsFalse)
	answer(now.Add(time.Millisecond)) // Sent before the host woke, or as it did.
	qt.Assert(t, c.Valid("rentals", 1), qt.IsFalse)
	answer(now.Add(2 * time.Millisecond))
	qt.Assert(t, c.Valid("rentals", 1), qt.IsTrue)
}
