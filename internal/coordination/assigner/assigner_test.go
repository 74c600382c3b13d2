package assigner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/assigner"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

func catalog(members, dataCentres, workspaces, connections int) *cataloger.Catalog {
	c := &cataloger.Catalog{
		Instances: map[identifier.InstanceID]cataloger.Instance{},
		Configuration: &cataloger.Configuration{
			Services:   map[identifier.ServiceName]cataloger.Service{"rentals": {MaxConnections: connections}},
			Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{},
		},
	}
	for i := range members {
		id := identifier.InstanceID(fmt.Sprint("i", i))
		c.Instances[id] = cataloger.Instance{ID: id, DataCentre: identifier.DataCentre(fmt.Sprint("dc", i%dataCentres))}
	}
	for i := range workspaces {
		c.Configuration.Workspaces[identifier.WorkspaceName(fmt.Sprint("w", i))] = cataloger.Workspace{}
	}
	return c
}

// Guards against planning more connections than a backend server accepts, and
// against a workspace without a home.
func TestPlansFitTheConnections(t *testing.T) {
	for _, test := range []struct{ members, dataCentres, workspaces, connections int }{
		{15, 3, 8, 47}, {12, 4, 8, 100}, {139, 3, 86, 97}, {129, 5, 82, 460}, {1, 1, 1, 1}, {3, 1, 500, 40},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			c := catalog(test.members, test.dataCentres, test.workspaces, test.connections)
			p := assigner.NewPlan("rentals", c)
			if p.Everywhere {
				qt.Assert(t, test.members, qt.Equals, 1)
				return
			}
			planned, most := 0, 0
			for w := range c.Configuration.Workspaces {
				homes := p.Homes(w, "dc0", nil)
				qt.Assert(t, len(homes) > 0, qt.IsTrue)
				planned += len(homes)
			}
			for id := range c.Instances {
				most = max(most, p.Load(id))
			}
			qt.Check(t, planned <= max(test.connections*6/10, test.workspaces), qt.IsTrue, qt.Commentf("planned %d", planned))
			qt.Check(t, most <= planned/test.members+1, qt.IsTrue, qt.Commentf("most %d", most))
		})
	}
}

// Guards against instances that compute different homes, and against statements
// that cross data centres unnecessarily.
func TestPlansAgreeAndPreferLocalHomes(t *testing.T) {
	c := catalog(15, 3, 8, 47)
	first, second := assigner.NewPlan("rentals", c), assigner.NewPlan("rentals", catalog(15, 3, 8, 47))
	for w := range c.Configuration.Workspaces {
		qt.Assert(t, second.Homes(w, "dc1", nil), qt.DeepEquals, first.Homes(w, "dc1", nil))
		qt.Assert(t, first.Homes(w, "dc1", nil)[0].DataCentre, qt.Equals, identifier.DataCentre("dc1"))
	}
}

// Guards against a crash of an instance that reads the configuration before any
// instance is registered.
func TestOwnersWithoutMembers(t *testing.T) {
	qt.Assert(t, assigner.Owners("w0", 3, catalog(0, 1, 2, 10)), qt.HasLen, 0)
	qt.Assert(t, assigner.Owners("w0", 3, catalog(9, 3, 2, 10)), qt.HasLen, 3)
}

// Guards against statements that must leave a small data centre because the
// maximum load of its instances leaves no room for a home of each workspace.
func TestEveryDataCentreHasAHomeOfEachWorkspace(t *testing.T) {
	c := catalog(12, 4, 8, 100)
	moved := c.Instances["i3"]
	moved.DataCentre = "dc0" // dc0 has 4 instances, dc3 has 2.
	c.Instances["i3"] = moved
	p := assigner.NewPlan("rentals", c)
	for w := range c.Configuration.Workspaces {
		for _, dc := range []identifier.DataCentre{"dc0", "dc1", "dc2", "dc3"} {
			qt.Check(t, p.Homes(w, dc, nil)[0].DataCentre, qt.Equals, dc, qt.Commentf("%s", w))
		}
	}
}

// Guards against statements that cross data centres twice: to a home, and from
// there to a server.
func TestHomesAreInDataCentresWithServers(t *testing.T) {
	c := catalog(129, 5, 82, 460)
	c.Servers = map[identifier.ServiceName][]cataloger.BackendServer{
		"rentals": {{ID: "a", DataCentre: "dc0"}, {ID: "b", DataCentre: "dc2"}, {ID: "c", DataCentre: "dc4"}},
	}
	p := assigner.NewPlan("rentals", c)
	for w := range c.Configuration.Workspaces {
		for _, home := range p.Homes(w, "dc1", nil) {
			qt.Check(t, home.DataCentre, qt.Not(qt.Equals), identifier.DataCentre("dc1"))
			qt.Check(t, home.DataCentre, qt.Not(qt.Equals), identifier.DataCentre("dc3"))
		}
	}
}

// Guards against writes that are forwarded to a home in another data centre than
// the primary's and have to cross data centres a second time.
func TestHomesInTheServersDataCentreComeFirst(t *testing.T) {
	c := catalog(129, 5, 82, 460)
	p := assigner.NewPlan("rentals", c)
	for w := range c.Configuration.Workspaces {
		all := p.Homes(w, "", nil)
		last := all[len(all)-1].DataCentre
		qt.Check(t, p.Homes(w, "", []identifier.DataCentre{last})[0].DataCentre, qt.Equals, last)
		first := p.Homes(w, all[0].DataCentre, []identifier.DataCentre{last})
		qt.Check(t, first[0], qt.Equals, all[0])
	}
}
