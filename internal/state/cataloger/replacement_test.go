package cataloger_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
)

// Records of each state, of the service whose server a leads term 2.
var (
	idle       = cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/8", OpenPromotions: "b@3", Revision: cataloger.Revision{Number: 5}}
	announced  = cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/8", OpenPromotions: "b@3", Holder: "one", Revision: cataloger.Revision{Number: 5}}
	chosen     = cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/8", OpenPromotions: "b@3", Holder: "one", Successor: "b", Revision: cataloger.Revision{Number: 5}}
	unreadable = cataloger.UnreadableLeadership(cataloger.Revision{Number: 5})
)

// Guards against a record whose state is taken for another, also one of a release with other fields.
func TestStateOfARecord(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       cataloger.ReplacementState
	}{
		{"never replaced", `{"term":0}`, cataloger.NotReplacing},
		{"replaced", `{"term":2,"server":"a"}`, cataloger.NotReplacing},
		{"successor without a holder", `{"term":2,"server":"a","successor":"b"}`, cataloger.NotReplacing},
		{"announced", `{"term":2,"server":"a","holder":"one"}`, cataloger.Announced},
		{"first replacement", `{"term":0,"holder":"one"}`, cataloger.Announced},
		{"successor", `{"term":2,"server":"a","holder":"one","successor":"b"}`, cataloger.SuccessorChosen},
		{"build before", `{"term":2,"server":"a","holder":"one","successor":"b","position":{"term":2,"offset":9}}`, cataloger.SuccessorChosen},
		{"newer format", `{"term":2,"server":"a","holder":"one","phase":"fenced","open_promotions":"b@3 new"}`, cataloger.Announced},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l cataloger.Leadership
			qt.Assert(t, json.Unmarshal([]byte(test.text), &l), qt.IsNil)
			qt.Assert(t, l.State(), qt.Equals, test.want)
			qt.Assert(t, l.IsReplacing(), qt.Equals, test.want != cataloger.NotReplacing)
			qt.Assert(t, l.IsHeldBy("one"), qt.Equals, l.IsReplacing())
			qt.Assert(t, l.IsHeldBy(""), qt.IsFalse)
			_, requested := l.RequestedPromotion()
			qt.Assert(t, requested, qt.Equals, test.want == cataloger.SuccessorChosen)
		})
	}
	qt.Assert(t, unreadable.State(), qt.Equals, cataloger.UnreadableRecord)
	qt.Assert(t, unreadable.IsReplacing() && unreadable.IsUnreadable(), qt.IsTrue)
	p, requested := chosen.RequestedPromotion()
	qt.Assert(t, requested && p == "b@5", qt.IsTrue)
	_, requested = unreadable.RequestedPromotion()
	qt.Assert(t, requested, qt.IsFalse)
	p, requested = chosen.Merge(cataloger.UnreadableLeadership(cataloger.Revision{Number: 6})).RequestedPromotion()
	qt.Assert(t, requested && p == "b@6", qt.IsTrue)
}

// Guards against a confirmation of another replacement, or of the end of this one, that is taken for one of the announcement.
func TestConfirmationIsOfTheSameReplacement(t *testing.T) {
	other, later := announced, announced
	other.Holder, later.Revision = "two", cataloger.Revision{Number: 6}
	qt.Assert(t, announced.IsSameReplacement(announced), qt.IsTrue)
	for _, l := range []cataloger.Leadership{idle, unreadable, other, later} {
		qt.Check(t, l.IsSameReplacement(announced), qt.IsFalse, qt.Commentf("%+v", l))
	}
}

// Guards against a late announcement that ends a replacement or gives permits; it may only begin one that was given up again.
func TestLateAnnouncementOfAnEarlierEra(t *testing.T) {
	givenUp := cataloger.Leadership{Term: 2, Server: "a", Revision: cataloger.Revision{Era: 1, Number: 8}}
	finished := cataloger.Leadership{Term: 3, Server: "b", Revision: cataloger.Revision{Era: 1, Number: 8}}
	qt.Assert(t, givenUp.Merge(announced).State(), qt.Equals, cataloger.Announced)
	qt.Assert(t, finished.Merge(announced).State(), qt.Equals, cataloger.NotReplacing)
	taken := cataloger.Leadership{Term: 2, Server: "a", Holder: "two", Successor: "c", Revision: cataloger.Revision{Era: 1, Number: 8}}
	qt.Assert(t, taken.Merge(announced).State(), qt.Equals, cataloger.SuccessorChosen)
}

// Guards against a transition from a state that does not allow it, and one that loses a field of the record.
func TestTransitions(t *testing.T) {
	announce := func(l cataloger.Leadership) (cataloger.Leadership, error) { return l.Announce("two", idle) }
	takeOver := func(l cataloger.Leadership) (cataloger.Leadership, error) { return l.TakeOver("two", idle) }
	choose := func(l cataloger.Leadership) (cataloger.Leadership, error) { return l.ChooseSuccessor("one", "c") }
	finish := func(l cataloger.Leadership) (cataloger.Leadership, error) {
		return l.Finish("one", "b", 3, "2@1/8 3@2/9")
	}
	giveUp := func(l cataloger.Leadership) (cataloger.Leadership, error) { return l.GiveUp("one") }
	restore := func(l cataloger.Leadership) (cataloger.Leadership, error) {
		return l.Restore(cataloger.Leadership{Term: 3, Server: "c", Revision: cataloger.Revision{Number: 4}})
	}
	held := func(successor string) cataloger.Leadership {
		l := idle
		l.Holder, l.Successor, l.LastToken = "two", announced.Successor, 5
		if successor != "" {
			l.Successor = chosen.Successor
		}
		return l
	}
	chosenC := chosen
	chosenC.Successor, chosenC.LastToken = "c", 5
	finished := cataloger.Leadership{Term: 3, Server: "b", TermStarts: "2@1/8 3@2/9", LastToken: 5, Revision: cataloger.Revision{Number: 5}}
	givenUp := cataloger.Leadership{Term: 2, Server: "a", TermStarts: "2@1/8", LastToken: 5, Revision: cataloger.Revision{Number: 5}}
	restored := cataloger.Leadership{Term: 3, Server: "c", LastToken: 5, Revision: cataloger.Revision{Number: 5}}
	for _, test := range []struct {
		name       string
		transition func(cataloger.Leadership) (cataloger.Leadership, error)
		from, want cataloger.Leadership
		err        error
	}{
		{"announce none", announce, idle, held(""), nil},
		{"announce announced", announce, announced, cataloger.Leadership{}, cataloger.ErrReplacing},
		{"announce chosen", announce, chosen, cataloger.Leadership{}, cataloger.ErrReplacing},
		{"announce unreadable", announce, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
		{"take over none", takeOver, idle, cataloger.Leadership{}, cataloger.ErrNotReplacing},
		{"take over announced", takeOver, announced, held(""), nil},
		{"take over chosen", takeOver, chosen, held("b"), nil},
		{"take over unreadable", takeOver, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
		{"choose none", choose, idle, cataloger.Leadership{}, cataloger.ErrNotReplacing},
		{"choose announced", choose, announced, chosenC, nil},
		{"choose chosen", choose, chosen, chosenC, nil},
		{"choose of another holder", choose, held("b"), cataloger.Leadership{}, cataloger.ErrNotHolder},
		{"choose unreadable", choose, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
		{"finish none", finish, idle, cataloger.Leadership{}, cataloger.ErrNotReplacing},
		{"finish announced", finish, announced, cataloger.Leadership{}, cataloger.ErrNotSuccessor},
		{"finish chosen", finish, chosen, finished, nil},
		{"finish another successor", finish, chosenC, cataloger.Leadership{}, cataloger.ErrNotSuccessor},
		{"finish of another holder", finish, held("b"), cataloger.Leadership{}, cataloger.ErrNotHolder},
		{"finish unreadable", finish, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
		{"give up none", giveUp, idle, cataloger.Leadership{}, cataloger.ErrNotReplacing},
		{"give up announced", giveUp, announced, givenUp, nil},
		{"give up chosen", giveUp, chosen, cataloger.Leadership{}, cataloger.ErrSuccessorChosen},
		{"give up of another holder", giveUp, held(""), cataloger.Leadership{}, cataloger.ErrNotHolder},
		{"give up unreadable", giveUp, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
		{"restore none", restore, idle, restored, nil},
		{"restore announced", restore, announced, restored, nil},
		{"restore chosen", restore, chosen, restored, nil},
		{"restore unreadable", restore, unreadable, cataloger.Leadership{}, cataloger.ErrUnreadable},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.transition(test.from)
			qt.Assert(t, got, qt.Equals, test.want)
			if test.err == nil {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, err, qt.ErrorIs, test.err)
			}
		})
	}
}

// Guards against a successor that is forgotten because the store came back from a copy without it, or the record was removed.
func TestReplacementThatTheStoreLacksIsContinued(t *testing.T) {
	known := chosen
	known.Revision = cataloger.Revision{Number: 9}
	stored := cataloger.Leadership{Term: 1, Server: "c", Revision: cataloger.Revision{Number: 7}}
	_, err := stored.Announce("two", known)
	qt.Assert(t, err, qt.ErrorIs, cataloger.ErrReplacing)
	for name, test := range map[string]struct {
		stored, known cataloger.Leadership
		successor     string
	}{
		"restored":                      {stored, known, "b"},
		"removed":                       {cataloger.Leadership{}, known, "b"},
		"unreadable and removed":        {cataloger.Leadership{}, cataloger.UnreadableLeadership(cataloger.Revision{Number: 9}), ""},
		"unreadable and rewritten":      {stored, cataloger.UnreadableLeadership(cataloger.Revision{Number: 9}), ""},
		"another successor":             {cataloger.Leadership{Holder: "three", Successor: "d", Revision: cataloger.Revision{Number: 7}}, known, "d"},
		"known replacement has ended":   {announced, cataloger.Leadership{Term: 3, Server: "c", Revision: cataloger.Revision{Number: 5}}, ""},
		"known announcement is earlier": {chosen, announced, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			next, err := test.stored.TakeOver("two", test.known)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.Revision, qt.Equals, test.stored.Revision)
			qt.Assert(t, next.IsHeldBy("two"), qt.IsTrue)
			qt.Assert(t, string(next.Successor), qt.Equals, test.successor)
			want := test.known
			if !want.IsReplacing() && want.Term < test.stored.Term {
				want = test.stored
			}
			qt.Assert(t, next.Term, qt.Equals, want.Term)
			qt.Assert(t, next.Server, qt.Equals, want.Server)
		})
	}
	_, err = idle.Restore(announced)
	qt.Assert(t, err, qt.ErrorIs, cataloger.ErrReplacing)
}
