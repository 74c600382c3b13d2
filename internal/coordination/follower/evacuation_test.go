package follower_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

func evacuated(dataCentres ...identifier.DataCentre) map[identifier.DataCentre]cataloger.Evacuation {
	all := map[identifier.DataCentre]cataloger.Evacuation{}
	for _, d := range dataCentres {
		all[d] = cataloger.Evacuation{Revision: cataloger.Revision{Number: 6}}
	}
	return all
}

// Guards against a server that stays in use after its data centre was evacuated,
// one that registers later and is used until the bound has passed once more, and one
// that stays out of use after the request was removed.
func TestEvacuationMarksServers(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, servers: []cataloger.BackendServer{
		{ID: "a", DataCentre: "north"}, {ID: "b", DataCentre: "south"},
	}}
	f, h, _ := newFollower(s)
	round := func() []cataloger.BackendServer {
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
		return h.Catalog().Servers["rentals"]
	}
	qt.Assert(t, round()[0].Evacuated, qt.IsFalse)
	s.evacuations, s.revision = evacuated("north"), 7
	servers := round()
	qt.Assert(t, servers[0].Evacuated, qt.IsTrue)
	qt.Assert(t, servers[0].EvacuatedSince.IsZero(), qt.IsFalse)
	qt.Assert(t, servers[1].Evacuated, qt.IsFalse)
	since := servers[0].EvacuatedSince
	s.version, s.configurationRevision, s.revision = 2, 8, 8
	qt.Assert(t, round()[0].EvacuatedSince, qt.Equals, since)
	s.servers = append(s.servers, cataloger.BackendServer{ID: "c", DataCentre: "north"})
	s.revision = 9
	qt.Assert(t, round()[2].EvacuatedSince, qt.Equals, since)
	s.evacuations, s.revision = nil, 10
	servers = round()
	qt.Assert(t, servers[0].Evacuated, qt.IsFalse)
	qt.Assert(t, servers[0].EvacuatedSince.IsZero(), qt.IsTrue)
}

// Guards against an evacuation that ends, or one that was removed and begins again,
// because the store came back from an older copy.
func TestEvacuationsSurviveARestoredStore(t *testing.T) {
	s := &fakeStore{revision: 5, version: 1, configurationRevision: 3, evacuations: evacuated("north")}
	f, h, now := newFollower(s)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	s.evacuations = evacuated("south") // The copy is from before north was evacuated and south was not any more.
	s.era, s.revision = 1, 4
	*now += 400 * time.Millisecond
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Evacuations, qt.DeepEquals, evacuated("north"))
	// The operators have written their changes again.
	s.evacuations, s.revision = evacuated("north"), 6
	for range 8 {
		*now += 400 * time.Millisecond
		qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	}
	qt.Assert(t, h.Catalog().Evacuations, qt.DeepEquals, evacuated("north"))
	qt.Assert(t, h.Catalog().Retained, qt.Equals, 0)
	s.evacuations, s.revision = nil, 7
	*now += 400 * time.Millisecond
	qt.Assert(t, f.Round(context.Background()), qt.IsNil)
	qt.Assert(t, h.Catalog().Evacuations, qt.HasLen, 0)
}
