package fencer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

func newFencer(now *time.Duration) *fencer.Fencer {
	h := &cataloger.Holder{Now: func() time.Duration { return *now }}
	h.Replace(&cataloger.Catalog{})
	h.SetProof(*now)
	return &fencer.Fencer{Holder: h}
}

// Guards against a permit that outlasts the wait of an instance that replaces
// the primary.
func TestPermitExpiresWithItsProof(t *testing.T) {
	now := time.Hour
	f := newFencer(&now)
	p, ok := f.Permit("rentals")
	qt.Assert(t, ok, qt.IsTrue)
	now += fencer.Validity
	qt.Assert(t, f.IsHeld(p), qt.IsTrue)
	now++
	qt.Assert(t, f.IsHeld(p), qt.IsFalse)
	f.Holder.SetProof(now)
	qt.Assert(t, f.IsHeld(p), qt.IsTrue)
}

// Guards against the use of a primary that is being replaced or was replaced.
func TestRecordEndsPermits(t *testing.T) {
	now := time.Hour
	f := newFencer(&now)
	before, _ := f.Permit("rentals")
	f.Observe("rentals", cataloger.Leadership{Holder: "two", Revision: cataloger.Revision{Number: 5}})
	qt.Assert(t, f.IsHeld(before), qt.IsFalse)
	_, ok := f.Permit("rentals")
	qt.Assert(t, ok, qt.IsFalse)
	f.Observe("rentals", cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Number: 6}})
	qt.Assert(t, f.IsHeld(before), qt.IsFalse)
	p, ok := f.Permit("rentals")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p.Allows("a"), qt.IsFalse)
	qt.Assert(t, p.Allows("b"), qt.IsTrue)
}

// Guards against messages that arrive late: an announcement after the end of its
// replacement, and a record that is older than a known one.
func TestLateRecordIsIgnored(t *testing.T) {
	now := time.Hour
	f := newFencer(&now)
	announced := cataloger.Leadership{Holder: "two", Revision: cataloger.Revision{Number: 5}}
	abandoned := cataloger.Leadership{Revision: cataloger.Revision{Number: 5}}
	f.Observe("rentals", announced)
	f.Observe("rentals", abandoned)
	qt.Assert(t, f.Observe("rentals", announced), qt.Equals, abandoned)
	granted := cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Number: 9}}
	f.Observe("rentals", granted)
	qt.Assert(t, f.Observe("rentals", cataloger.Leadership{Holder: "two", Revision: cataloger.Revision{Number: 7}}), qt.Equals, granted)
}

// Guards against a check on the path of each statement that allocates.
func TestPermitAllocatesNothing(t *testing.T) {
	now := time.Hour
	f := newFencer(&now)
	f.Observe("rentals", cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Number: 9}})
	allocations := testing.AllocsPerRun(100, func() {
		p, _ := f.Permit("rentals")
		f.IsHeld(p)
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// Guards against the use of a primary whose replacement was announced, or was
// finished, before the store came back from an older copy: what a peer tells of it
// counts, also after this instance has read the restored record, and whether or not
// the peer has read it.
func TestRecordToldByAPeerAfterARestore(t *testing.T) {
	restored := cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Era: 1, Number: 9}}
	for _, test := range []struct {
		name    string
		known   cataloger.Leadership // Of the peer, before the store came back.
		allowed bool
	}{
		{"announced", cataloger.Leadership{Server: "b", Term: 2, Holder: "two", Revision: cataloger.Revision{Number: 12}}, false},
		{"finished", cataloger.Leadership{Server: "c", Term: 3, Revision: cataloger.Revision{Number: 14}}, true},
	} {
		for _, peerHasRead := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, " ", peerHasRead), func(t *testing.T) {
				now := time.Hour
				f, peer := newFencer(&now), newFencer(&now)
				peer.Observe("rentals", test.known)
				if peerHasRead {
					peer.Observe("rentals", restored)
				}
				f.Observe("rentals", restored)
				f.Observe("rentals", peer.Record("rentals"))
				p, ok := f.Permit("rentals")
				qt.Assert(t, ok, qt.Equals, test.allowed)
				qt.Assert(t, p.Allows("b"), qt.Equals, test.known.Server == "b")
				qt.Assert(t, f.Observe("rentals", restored), qt.Equals, f.Record("rentals"))
			})
		}
	}
}

// Guards against permits from a record that cannot be read, and a service that stays blocked after it can be read again.
func TestUnreadableRecordEndsPermitsUntilItIsReadable(t *testing.T) {
	for era, want := range []cataloger.Leadership{
		{Server: "b", Term: 2},
		{Server: "c", Term: 3}, // The store came back from a copy, so that the late end counts.
	} {
		now := time.Hour
		f := newFencer(&now)
		f.Observe("rentals", cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Number: 6}})
		f.Observe("rentals", cataloger.UnreadableLeadership(cataloger.Revision{Era: uint64(era), Number: 7}))
		_, ok := f.Permit("rentals")
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, f.Record("rentals").Term, qt.Equals, identifier.Term(2))
		_, ok = f.Permit("others")
		qt.Assert(t, ok, qt.IsTrue)
		f.Observe("rentals", cataloger.Leadership{Server: "c", Term: 3, Revision: cataloger.Revision{Number: 6}}) // The late end of a replacement.
		f.Observe("rentals", cataloger.Leadership{Server: "a", Term: 1, Revision: cataloger.Revision{Number: 5}})
		_, ok = f.Permit("rentals")
		qt.Assert(t, ok, qt.IsFalse)
		f.Observe("rentals", cataloger.Leadership{Server: "b", Term: 2, Revision: cataloger.Revision{Era: 1, Number: 8}})
		p, ok := f.Permit("rentals")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, p.Allows(want.Server) && !p.Allows("a") && p.Term() == want.Term, qt.IsTrue)
	}
}
