package cataloger_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// earlierCatalog has the form of the revisions that releases before the type Revision send.
type earlierCatalog struct {
	Revision uint64 `cbor:"revision"`
}

// drawRevision returns a revision near the limits of what earlier releases can hold, or anywhere.
func drawRevision(t *rapid.T, label string) cataloger.Revision {
	near := func(limit uint64) *rapid.Generator[uint64] {
		return rapid.OneOf(rapid.Uint64Range(0, 3), rapid.Uint64Range(limit-2, limit+2), rapid.Uint64())
	}
	return cataloger.Revision{Era: near(1<<24).Draw(t, label+" era"), Number: near(1<<40).Draw(t, label+" number")}
}

// Guards against a revision that another instance takes for another one, and against a message of which the build before
// reads a part (CONFIG, ONE): it gets its own form, or refuses the message.
func TestRevisionsThatEarlierBuildsCannotHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawRevision(rt, "")
		data, err := cbor.Marshal(cataloger.Catalog{Revision: r})
		qt.Assert(t, err, qt.IsNil)
		var read cataloger.Catalog
		qt.Assert(t, cbor.Unmarshal(data, &read), qt.IsNil)
		qt.Assert(t, read.Revision, qt.Equals, r)

		var earlier earlierCatalog
		err = cbor.Unmarshal(data, &earlier)
		if r.Era >= 1<<24 || r.Number >= 1<<40 {
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s is read as %d", r, earlier.Revision))
			return
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, earlier.Revision, qt.Equals, r.Era<<40|r.Number)
		data, err = cbor.Marshal(earlier)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, cbor.Unmarshal(data, &read), qt.IsNil)
		qt.Assert(t, read.Revision, qt.Equals, r)
	})
	for _, malformed := range []any{"7", -1, 1.5, []uint64{}, []uint64{1}, []uint64{1, 2, 3}, []string{"1", "2"}, map[string]uint64{"era": 1}} {
		data, err := cbor.Marshal(malformed)
		qt.Assert(t, err, qt.IsNil)
		var r cataloger.Revision
		qt.Assert(t, r.UnmarshalCBOR(data), qt.ErrorIs, cataloger.ErrMalformedRevision, qt.Commentf("%v", malformed))
	}
}

// Guards against another form of the revisions that earlier builds refuse, which the builds after this one could not read.
func TestRevisionFormat(t *testing.T) {
	archiver.Format{
		Name: "revision", Write: cbor.Marshal,
		Read: func(data []byte) (any, error) {
			var r cataloger.Revision
			err := cbor.Unmarshal(data, &r)
			return r, err
		},
	}.Check(t, cataloger.Revision{Era: 1 << 24, Number: 1 << 40})
}

// Guards against two catalogs that count as the same, or instances that order revisions differently.
func TestRevisionsAreOrderedByEraAndNumber(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := drawRevision(rt, "a"), drawRevision(rt, "b")
		qt.Assert(t, a.IsAfter(b), qt.Equals, a.Era > b.Era || (a.Era == b.Era && a.Number > b.Number))
		qt.Assert(t, a.Compare(b), qt.Equals, -b.Compare(a))
		qt.Assert(t, a.String() == b.String(), qt.Equals, a == b)
		digest := func(r cataloger.Revision) uint64 {
			c := cataloger.Catalog{Instances: map[identifier.InstanceID]cataloger.Instance{"one": {Revision: r}}}
			return c.Digest()
		}
		qt.Assert(t, digest(a) == digest(b), qt.Equals, a == b)
	})
}

// Guards against a holder whose token is not above all those that were used before it, also by an instance of an earlier
// release, whose token is the packed revision and which does not keep last_token.
func TestTokenIsAboveThoseOfEarlierReleases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stored cataloger.Leadership
		var used uint64
		era, number := rapid.Uint64Range(0, 1<<23).Draw(rt, "era"), rapid.Uint64Range(0, 1<<41).Draw(rt, "first number")
		for range rapid.IntRange(1, 20).Draw(rt, "replacements") {
			number += rapid.Uint64Range(1, 1<<39).Draw(rt, "step")
			isEarlier := number < 1<<40 && rapid.Bool().Draw(rt, "earlier release")
			next, err := stored.Announce("one", cataloger.Leadership{})
			qt.Assert(t, err, qt.IsNil)
			if isEarlier {
				next.LastToken = 0
			}
			next.Revision = cataloger.Revision{Era: era, Number: number}
			token := next.Token()
			if isEarlier {
				token = era<<40 | number
			}
			qt.Assert(t, token > used, qt.IsTrue, qt.Commentf("token %d after %d", token, used))
			used = token
			if stored, err = next.GiveUp("one"); err != nil {
				t.Fatal(err)
			}
			if isEarlier {
				stored.LastToken = 0
			}
		}
	})
	last := cataloger.Leadership{Holder: "one", LastToken: math.MaxUint64}
	qt.Assert(t, last.Token(), qt.Equals, uint64(math.MaxUint64))
	qt.Assert(t, last.RaiseToken(256).Token(), qt.Equals, uint64(math.MaxUint64))
	raised := cataloger.Leadership{Holder: "one", LastToken: 5}.RaiseToken(256)
	qt.Assert(t, raised.Token(), qt.Equals, uint64(6+256))
}
