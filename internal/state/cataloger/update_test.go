package cataloger_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// configured returns a catalog with as many routes as large customers have.
func configured(version int) *cataloger.Catalog {
	c := &cataloger.Configuration{
		Version: identifier.ConfigVersion(version), Revision: cataloger.Revision{Number: uint64(version)},
		Routes: map[string]cataloger.Route{}, Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{},
	}
	for i := range 1400 {
		c.Routes[fmt.Sprintf("database-%x", i*7919)] = cataloger.Route{
			Service: identifier.ServiceName(fmt.Sprint("service-", i%8)), Consistency: cataloger.ReadOwnWrites,
			MaxStaleness: 2500 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, TargetLatency: 250 * time.Millisecond,
		}
	}
	return &cataloger.Catalog{Configuration: c, Revision: cataloger.Revision{Number: uint64(version)}}
}

// Guards against a change of one route that sends the whole configuration to each
// instance: with 1,400 routes, relays with a tenth of a processor were not done within
// the timeout of their children, which asked again.
func TestChangeOfOneRouteIsSmall(t *testing.T) {
	base, next := configured(1), configured(2)
	next.Configuration.Routes["database-0"] = cataloger.Route{Service: "service-1"}
	size, err := (&cataloger.Update{Change: base.ChangeTo(next, base.Digest())}).Size()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, size < 1000, qt.IsTrue, qt.Commentf("%d bytes", size))
}

// Guards against a whole catalog that takes the link of a relay for seconds, and
// against one that differs after it was sent.
func TestWholeCatalogIsCompressed(t *testing.T) {
	c := configured(1)
	plain, err := cbor.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	data, err := cbor.Marshal(&cataloger.Update{Catalog: c})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(data)*5 < len(plain), qt.IsTrue, qt.Commentf("%d of %d bytes", len(data), len(plain)))
	var got cataloger.Update
	qt.Assert(t, cbor.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got.Catalog, qt.DeepEquals, c)
}

// Guards against an instance that ends, or keeps part of a catalog, when a peer sends
// an update that cannot be decoded.
func TestMalformedUpdateIsRejected(t *testing.T) {
	whole, err := cbor.Marshal(&cataloger.Update{Catalog: configured(1)})
	qt.Assert(t, err, qt.IsNil)
	var encoded []byte
	qt.Assert(t, cbor.Unmarshal(whole, &encoded), qt.IsNil)
	for name, data := range map[string][]byte{
		"empty":          {},
		"unknown format": {9, 1, 2},
		"truncated":      encoded[:len(encoded)/2],
		"no catalog":     {0, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			wrapped, err := cbor.Marshal(data)
			qt.Assert(t, err, qt.IsNil)
			var u cataloger.Update
			qt.Assert(t, cbor.Unmarshal(wrapped, &u), qt.IsNotNil)
			qt.Assert(t, u.Catalog, qt.IsNil)
		})
	}
}

// Guards against a relay that encodes and compresses the same update for each of its
// children.
func BenchmarkUpdateForAllChildren(b *testing.B) {
	c := configured(1)
	for b.Loop() {
		u := &cataloger.Update{Catalog: c}
		for range 24 {
			if _, err := cbor.Marshal(u); err != nil {
				b.Fatal(err)
			}
		}
	}
}
