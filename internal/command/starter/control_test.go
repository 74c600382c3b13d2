package starter

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/platform"
)

// fleetSize is a size of a fleet and of what it serves.
type fleetSize struct {
	instances, dataCentres, services, workspaces int
}

// servicesInUse is the number of services whose homes an instance needs after a
// change.
const servicesInUse = 20

// catalog returns a catalog of the size, with three backend servers a service.
func (f fleetSize) catalog() *cataloger.Catalog {
	c := &cataloger.Catalog{
		Revision:  cataloger.Revision{Number: 1},
		Instances: map[identifier.InstanceID]cataloger.Instance{},
		Servers:   map[identifier.ServiceName][]cataloger.BackendServer{},
		Configuration: &cataloger.Configuration{
			Version: 1, Revision: cataloger.Revision{Number: 1},
			Services:   map[identifier.ServiceName]cataloger.Service{},
			Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{},
		},
	}
	dataCentre := func(i int) identifier.DataCentre {
		return identifier.DataCentre(fmt.Sprint("dc-", i%f.dataCentres))
	}
	for i := range f.instances {
		id := identifier.InstanceID(fmt.Sprint("instance-", i))
		c.Instances[id] = cataloger.Instance{ID: id, DataCentre: dataCentre(i), Address: fmt.Sprintf("10.%d.0.%d:7560", i/250, i%250), Revision: cataloger.Revision{Number: uint64(i)}}
	}
	for i := range f.services {
		name := identifier.ServiceName(fmt.Sprint("service-", i))
		c.Configuration.Services[name] = cataloger.Service{MaxConnections: 202}
		for j := range 3 {
			c.Servers[name] = append(c.Servers[name], cataloger.BackendServer{
				ID: identifier.BackendServerID(fmt.Sprintf("server-%d-%d", i, j)), Service: name,
				DataCentre: dataCentre(i + j), Address: "10.9.0.1:5432", Slots: 3, Revision: cataloger.Revision{Number: uint64(3*i + j)},
			})
		}
	}
	for i := range f.workspaces {
		name := identifier.WorkspaceName(fmt.Sprint("workspace-", i))
		c.Configuration.Workspaces[name] = cataloger.Workspace{Name: name, Rate: 20, Burst: 40}
	}
	return c
}

// BenchmarkFrequentChange measures what an instance does when a backend server
// registers or a route changes, which happens several times a second while servers are
// replaced.
func BenchmarkFrequentChange(b *testing.B) {
	for _, size := range []fleetSize{{15, 3, 3, 8}, {139, 3, 8, 86}, {295, 5, 20, 190}} {
		base := size.catalog()
		base.Configuration.Routes = map[string]cataloger.Route{}
		for i := range 1400 {
			base.Configuration.Routes[fmt.Sprint("database-", i)] = cataloger.Route{Service: "service-0", Priority: i % 3}
		}
		withServer := *base
		withServer.Servers = maps.Clone(base.Servers)
		withServer.Servers["service-0"] = append(slices.Clone(base.Servers["service-0"]), cataloger.BackendServer{ID: "new", Service: "service-0", DataCentre: "dc-0", Revision: cataloger.Revision{Number: 999}})
		withRoute := *base
		configuration := *base.Configuration
		configuration.Version = 2
		configuration.Routes = maps.Clone(base.Configuration.Routes)
		configuration.Routes["database-0"] = cataloger.Route{Service: "service-1"}
		withRoute.Configuration = &configuration
		for kind, next := range map[string]*cataloger.Catalog{"server": &withServer, "route": &withRoute} {
			b.Run(fmt.Sprintf("%s/%d", kind, size.instances), func(b *testing.B) {
				benchmarkCatalogChange(b, base, next, false)
			})
		}
	}
}

// BenchmarkCatalogChange measures what an instance does when another one joins:
// decode the message of its relay, apply it, and compute the peers, the shares of
// the rates and the homes of the services in use. "whole" is the message that a
// relay sends if it does not know the catalog of the instance.
func BenchmarkCatalogChange(b *testing.B) {
	for _, size := range []fleetSize{{15, 3, 3, 8}, {139, 3, 8, 86}, {295, 5, 20, 190}, {1900, 22, 3900, 10400}} {
		base := size.catalog()
		next := *base
		next.Instances = map[identifier.InstanceID]cataloger.Instance{"joined": {ID: "joined", DataCentre: "dc-0"}}
		for id, m := range base.Instances {
			next.Instances[id] = m
		}
		for _, kind := range []string{"change", "whole"} {
			b.Run(fmt.Sprintf("%s/%d", kind, size.instances), func(b *testing.B) {
				benchmarkCatalogChange(b, base, &next, kind == "whole")
			})
		}
	}
}

func benchmarkCatalogChange(b *testing.B, base, next *cataloger.Catalog, whole bool) {
	var message any = base.ChangeTo(next, 1)
	if whole {
		withoutConfiguration := *next
		withoutConfiguration.Configuration = nil
		message = withoutConfiguration
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	s := &Starter{Settings: platform.Settings{InstanceID: "instance-0", DataCentre: "dc-0"}}
	s.lender.Limit = s.connectionLimit
	s.search.Fallback = &s.follower.Fallback
	s.search.Self = s.Settings.InstanceID
	b.ReportAllocs()
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		s.catalogChanged(base)
		adopted := decodeCatalog(b, data, base, whole)
		s.catalogChanged(adopted)
		for i := range servicesInUse {
			s.plans.plan(adopted, identifier.ServiceName(fmt.Sprint("service-", i)))
		}
	}
}

// decodeCatalog returns the catalog after the message of a relay.
func decodeCatalog(b *testing.B, data []byte, base *cataloger.Catalog, whole bool) *cataloger.Catalog {
	if !whole {
		var change cataloger.Change
		if err := cbor.Unmarshal(data, &change); err != nil {
			b.Fatal(err)
		}
		return base.Apply(&change)
	}
	adopted := &cataloger.Catalog{}
	if err := cbor.Unmarshal(data, adopted); err != nil {
		b.Fatal(err)
	}
	adopted.Configuration = base.Configuration
	return adopted
}
