package cataloger_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// drawCatalog returns a catalog of few entries, so that two of them share some.
func drawCatalog(t *rapid.T, label string) *cataloger.Catalog {
	c := &cataloger.Catalog{
		Configuration: configuration(rapid.Uint64Range(1, 3).Draw(t, label+" configuration")),
		Servers:       map[identifier.ServiceName][]cataloger.BackendServer{},
		Instances:     map[identifier.InstanceID]cataloger.Instance{},
		Leaderships:   map[identifier.ServiceName]cataloger.Leadership{},
		Revision:      cataloger.Revision{Number: rapid.Uint64Range(1, 9).Draw(t, label+" revision")},
	}
	revisions := rapid.MapOfN(rapid.IntRange(0, 5), rapid.Uint64Range(1, 3), 0, 6)
	for i, revision := range revisions.Draw(t, label+" instances") {
		id := identifier.InstanceID(fmt.Sprint("i", i))
		c.Instances[id] = cataloger.Instance{ID: id, Revision: cataloger.Revision{Number: revision}}
	}
	for i, revision := range revisions.Draw(t, label+" servers") {
		service := identifier.ServiceName(fmt.Sprint("s", i%2))
		id := identifier.BackendServerID(fmt.Sprint("b", i))
		c.Servers[service] = append(c.Servers[service], cataloger.BackendServer{ID: id, Service: service, Revision: cataloger.Revision{Number: revision}})
	}
	for i, revision := range revisions.Draw(t, label+" records") {
		c.Leaderships[identifier.ServiceName(fmt.Sprint("s", i))] = cataloger.Leadership{Revision: cataloger.Revision{Number: revision}}
	}
	c.Evacuations = map[identifier.DataCentre]cataloger.Evacuation{}
	for i, revision := range revisions.Draw(t, label+" evacuations") {
		c.Evacuations[identifier.DataCentre(fmt.Sprint("d", i))] = cataloger.Evacuation{Revision: cataloger.Revision{Number: revision}}
	}
	return c
}

// configuration returns a configuration whose entries follow from its revision.
func configuration(revision uint64) *cataloger.Configuration {
	c := &cataloger.Configuration{
		Version: 1, Revision: cataloger.Revision{Number: revision}, IdleTxLimit: time.Duration(revision),
		Routes:     map[string]cataloger.Route{"both": {Service: "s", Priority: int(revision), Regions: []identifier.Region{"north"}}},
		Services:   map[identifier.ServiceName]cataloger.Service{"s": {MaxConnections: int(revision)}},
		Workspaces: map[identifier.WorkspaceName]cataloger.Workspace{"w": {Name: "w", Rate: float64(revision)}},
		Keys:       map[string]identifier.WorkspaceName{"both": "w"},
	}
	own := fmt.Sprint("of ", revision)
	c.Routes[own] = cataloger.Route{Service: "s"}
	c.Services[identifier.ServiceName(own)] = cataloger.Service{}
	c.Workspaces[identifier.WorkspaceName(own)] = cataloger.Workspace{}
	c.Keys[own] = "w"
	return c
}

// Guards against an instance whose catalog differs from that of its relay after a
// change, for instance one that keeps a withdrawn key or a server that left.
func TestChangeLeadsToTheNextCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawCatalog(t, "base"), drawCatalog(t, "next")
		data, err := cbor.Marshal(base.ChangeTo(next, base.Digest()))
		if err != nil {
			t.Fatal(err)
		}
		var change cataloger.Change
		if err := cbor.Unmarshal(data, &change); err != nil {
			t.Fatal(err)
		}
		if change.Base != base.Digest() {
			t.Fatal("the change is for another catalog")
		}
		got := base.Apply(&change)
		if got.Digest() != next.Digest() || got.Revision != next.Revision {
			t.Fatalf("got %+v, want %+v", got, next)
		}
		if !reflect.DeepEqual(got.Configuration, next.Configuration) {
			t.Fatalf("got configuration %+v, want %+v", got.Configuration, next.Configuration)
		}
	})
}

// Guards against two catalogs that differ in the configuration alone and are taken
// for the same one: a withdrawn key stayed in use.
func TestDigestCoversEachPart(t *testing.T) {
	c := cataloger.Catalog{Configuration: &cataloger.Configuration{Version: 1, Revision: cataloger.Revision{Number: 1}}}
	seen := map[uint64]bool{c.Digest(): true}
	for _, change := range []func(*cataloger.Catalog){
		func(c *cataloger.Catalog) {
			c.Configuration = &cataloger.Configuration{Version: 1, Revision: cataloger.Revision{Number: 2}}
		},
		func(c *cataloger.Catalog) {
			c.Configuration = &cataloger.Configuration{Version: 2, Revision: cataloger.Revision{Number: 1}}
		},
		func(c *cataloger.Catalog) { c.Instances = map[identifier.InstanceID]cataloger.Instance{"a": {}} },
		func(c *cataloger.Catalog) {
			c.Servers = map[identifier.ServiceName][]cataloger.BackendServer{"s": {{ID: "a"}}}
		},
		func(c *cataloger.Catalog) {
			c.Leaderships = map[identifier.ServiceName]cataloger.Leadership{"a": {Revision: cataloger.Revision{Number: 1}}}
		},
		func(c *cataloger.Catalog) {
			c.Evacuations = map[identifier.DataCentre]cataloger.Evacuation{"a": {Revision: cataloger.Revision{Number: 1}}}
		},
	} {
		changed := c
		change(&changed)
		qt.Check(t, seen[changed.Digest()], qt.IsFalse)
		seen[changed.Digest()] = true
	}
}
