package replacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a replacement withheld for good by a recorded promotion that cannot be executed any more.
func TestOpenPromotionExpiresAlthoughTheRecordHasIt(t *testing.T) {
	const limit = time.Second
	l := cataloger.Leadership{Server: "b", Term: 2, OpenPromotions: "b@5"}
	var o openPromotions
	o.observe(l, time.Hour, limit)
	qt.Assert(t, o.set(time.Hour+limit-1), qt.Equals, l.OpenPromotions)
	for range 2 {
		qt.Assert(t, o.set(time.Hour+limit), qt.Equals, cataloger.OpenPromotions(""))
		o.forget(l, time.Hour+limit)
		o.observe(l, time.Hour+limit, limit)
	}
	l.OpenPromotions = "b@5 b@9" // A later promotion of the same server.
	o.observe(l, time.Hour+limit, limit)
	qt.Assert(t, o.set(time.Hour+limit), qt.Equals, cataloger.OpenPromotions("b@9"))
}

// Guards against an unanswered promotion that the next holder does not know, since it is stored too late or not at all (review/2).
func TestUnansweredPromotionIsInTheRecord(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	answers := 0
	promote := s.promote
	s.promote = func(id identifier.BackendServerID) error {
		if answers++; answers == 1 {
			return ErrPromotionUnknown
		}
		return promote(id)
	}
	r := s.replacer()
	r.TokensChecked, r.LateLimit = false, time.Minute
	s.check(r, &serviceWatch{silentSince: silentLongEnough()})
	qt.Assert(t, s.stored, qt.Equals, cataloger.Leadership{Server: "c", Term: 2, TermStarts: "2@1/8", OpenPromotions: "c@12", LastToken: 12, Revision: cataloger.Revision{Number: 13}})

	// Another instance that reads the record does not replace the server yet.
	s.mu.Lock()
	s.down, s.leader = map[identifier.BackendServerID]bool{"c": true}, ""
	s.mu.Unlock()
	other := s.replacer()
	other.Self, other.TokensChecked, other.LateLimit = "two", false, time.Minute
	qt.Assert(t, s.check(other, &serviceWatch{silentSince: silentLongEnough(), term: 2}), qt.HasLen, 0)
	other.LateLimit = 0
	qt.Assert(t, s.check(other, &serviceWatch{silentSince: silentLongEnough(), term: 2})[0], qt.Equals, "announce 14 ")
}

// Guards against a promotion of another server while the one that the previous holder requested may be executed late.
func TestSuccessorOfAnotherHolderIsAwaited(t *testing.T) {
	s := newFakeService()
	s.down["a"] = true
	s.stored = cataloger.Leadership{Holder: "two", Successor: "gone", Revision: cataloger.Revision{Number: 5}}
	s.known = s.stored
	w := &serviceWatch{}
	r := s.replacer()
	r.TokensChecked, r.LateLimit = false, time.Minute
	s.check(r, w)
	w.announcedSince = time.Now().Add(-TakeoverTimeout)
	w.pausedUntil = time.Time{}
	qt.Assert(t, s.check(r, w), qt.DeepEquals, []string{"announce 11 gone", "two confirms 11"})
	qt.Assert(t, s.stored.OpenPromotions, qt.Equals, cataloger.OpenPromotions("gone@5"))
	r.LateLimit = 0
	w.open = openPromotions{}
	w.pausedUntil = time.Time{}
	qt.Assert(t, s.check(r, w), qt.Contains, "promote c under 13")
}
