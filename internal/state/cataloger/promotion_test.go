package cataloger_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// earlierLeadership has the fields of a record that releases before unanswered
// promotions were recorded read and write.
type earlierLeadership struct {
	Term      identifier.Term            `json:"term" cbor:"term"`
	Server    identifier.BackendServerID `json:"server,omitempty" cbor:"server,omitempty"`
	Successor identifier.BackendServerID `json:"successor,omitempty" cbor:"successor,omitempty"`
	Holder    identifier.InstanceID      `json:"holder,omitempty" cbor:"holder,omitempty"`
	Revision  uint64                     `json:"-" cbor:"revision"`
	Carried   bool                       `json:"-" cbor:"carried"`
}

// Guards against a record that the release before cannot read, or that this one cannot read from it, in the store or in a notice.
func TestRecordsOfBothReleasesAreReadable(t *testing.T) {
	now := cataloger.Leadership{Term: 3, Server: "b", Successor: "c", Holder: "two", OpenPromotions: "b@7"}
	before := earlierLeadership{Term: 3, Server: "b", Successor: "c", Holder: "two"}
	formats := map[string]struct {
		encode func(any) ([]byte, error)
		decode func([]byte, any) error
	}{
		"store":  {json.Marshal, json.Unmarshal},
		"notice": {cbor.Marshal, cbor.Unmarshal},
	}
	for name, f := range formats {
		t.Run(name, func(t *testing.T) {
			data, err := f.encode(now)
			qt.Assert(t, err, qt.IsNil)
			var read earlierLeadership
			qt.Assert(t, f.decode(data, &read), qt.IsNil)
			qt.Assert(t, read, qt.Equals, before)

			data, err = f.encode(before)
			qt.Assert(t, err, qt.IsNil)
			var l cataloger.Leadership
			qt.Assert(t, f.decode(data, &l), qt.IsNil)
			want := now
			want.OpenPromotions = ""
			qt.Assert(t, l, qt.Equals, want)
		})
	}
}

func TestOpenPromotions(t *testing.T) {
	a, b := cataloger.NewOpenPromotion("a", 12), cataloger.NewOpenPromotion("b@x", 3)
	set := cataloger.NewOpenPromotions([]cataloger.OpenPromotion{b, a, b})
	qt.Assert(t, set, qt.Equals, cataloger.OpenPromotions("a@12 b@x@3"))
	qt.Assert(t, set.All(), qt.DeepEquals, []cataloger.OpenPromotion{a, b})
	qt.Assert(t, b.Server(), qt.Equals, identifier.BackendServerID("b@x"))
	qt.Assert(t, cataloger.OpenPromotion("a").Server(), qt.Equals, identifier.BackendServerID("a"))
	qt.Assert(t, set.Union("c@1"), qt.Equals, cataloger.OpenPromotions("a@12 b@x@3 c@1"))
	qt.Assert(t, cataloger.OpenPromotions("").Union(""), qt.Equals, cataloger.OpenPromotions(""))
}

// Guards against an unanswered promotion that is forgotten, or taken for one of another
// server, because the id has a blank.
func TestOpenPromotionsOfServersWithAnyID(t *testing.T) {
	for _, id := range []identifier.BackendServerID{"a b", " ", "a\u00a0b", "a\u0085", "a\tb", "a\nb", "a%20b", "%", "a@1 b@2", "é"} {
		p := cataloger.NewOpenPromotion(id, 7)
		qt.Check(t, p.Server(), qt.Equals, id)
		set := cataloger.NewOpenPromotions([]cataloger.OpenPromotion{p, cataloger.NewOpenPromotion("z", 8)}).Union("c@1")
		qt.Check(t, set.All(), qt.ContentEquals, []cataloger.OpenPromotion{p, "z@8", "c@1"}, qt.Commentf("id %q", id))
	}
}
