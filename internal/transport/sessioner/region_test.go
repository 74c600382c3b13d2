package sessioner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a statement that leaves the regions of its route or workspace, and
// against one that may run nowhere and is taken for one that may run everywhere.
func TestAllowedRegionsBindBoth(t *testing.T) {
	type regions = []identifier.Region
	for _, test := range []struct {
		name             string
		route, workspace regions
		want             regions
		limited          bool
	}{
		{"no limit", nil, nil, nil, false},
		{"route alone", regions{"north"}, nil, regions{"north"}, true},
		{"workspace alone", nil, regions{"south"}, regions{"south"}, true},
		{"both", regions{"north", "south"}, regions{"south", "west"}, regions{"south"}, true},
		{"nothing in common", regions{"north"}, regions{"south"}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			allowed, limited := allowedRegions(test.route, test.workspace)
			qt.Assert(t, allowed, qt.DeepEquals, test.want)
			qt.Assert(t, limited, qt.Equals, test.limited)
		})
	}
}

// Guards against a server or a home in another region: the body of a statement must
// not be sent there.
func TestStatementsStayInTheirRegions(t *testing.T) {
	s, _ := newTestServer()
	s.Regions = map[identifier.DataCentre]identifier.Region{"n1": "north", "n2": "north", "s1": "south", "w1": "west"}
	s.Region = "west"
	servers := []cataloger.BackendServer{{ID: "a", DataCentre: "n1"}, {ID: "b", DataCentre: "s1"}, {ID: "c", DataCentre: "n2"}}
	o := operation{servers: servers, route: cataloger.Route{Regions: []identifier.Region{"north", "south"}}}
	n := &session{server: s}
	qt.Assert(t, n.limitRegions(&o, cataloger.Workspace{Regions: []identifier.Region{"north"}}), qt.IsTrue)
	qt.Assert(t, o.servers, qt.HasLen, 2)
	s.Holder.Replace(&cataloger.Catalog{Instances: map[identifier.InstanceID]cataloger.Instance{
		"n": {DataCentre: "n1"}, "s": {DataCentre: "s1"}, "w": {DataCentre: "w1"},
	}})
	qt.Assert(t, s.mayForward("n", o.route.Regions), qt.IsTrue)
	qt.Assert(t, s.mayForward("s", o.route.Regions), qt.IsFalse)
	qt.Assert(t, s.mayForward("w", o.route.Regions), qt.IsTrue)
	o = operation{servers: servers, route: cataloger.Route{Regions: []identifier.Region{"south"}}}
	qt.Assert(t, n.limitRegions(&o, cataloger.Workspace{Regions: []identifier.Region{"north"}}), qt.IsFalse)
}

// Guards against a forwarded statement that runs outside its regions; builds before cf639d8 send none.
func TestForwardedStatementsStayInTheirRegions(t *testing.T) {
	s, seen := newTestServer()
	s.Regions = map[identifier.DataCentre]identifier.Region{"": "north"} // Of the only server.
	f := primaryRequest(requester.Write, "WRITE x 1")
	f.Route.Regions = []identifier.Region{"south"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Not(qt.Equals), requester.OK)
	qt.Assert(t, seen, qt.HasLen, 0)
	f.Route.Regions = nil
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OK)
	f.Route.Regions = []identifier.Region{"north"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OK)
}
