package starter_test

import (
	"cmp"
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/command/starter"
	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/platform"
	"oleanderpulley/platform/imitator"
)

// waitLimit is the time limit of every wait in these tests.
const waitLimit = 10 * time.Second

// evacuationLimit is that of the users' platform.
const evacuationLimit = 5 * time.Second

// testPlatform is a store with a configuration, and one database group of three
// servers.
type testPlatform struct {
	t         testing.TB
	store     imitator.Store
	address   string
	group     imitator.Group
	members   map[string]*imitator.Member
	zones     map[string]string // Of the members, "centro" where there is none.
	instances []*testInstance
	routes    []map[string]any
	tenants   []map[string]any
	version   int
}

// testInstance is a running instance with the address for its clients.
type testInstance struct {
	*starter.Starter
	address string
	logs    *lockedBuffer
}

func newTestPlatform(t testing.TB) *testPlatform {
	p := &testPlatform{t: t, members: map[string]*imitator.Member{}}
	p.group.Service = "rentals"
	p.store.Promote = func(_, id string) bool {
		promoted := p.group.Promote(id)
		p.registerServers()
		return promoted
	}
	var err error
	p.address, err = p.store.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.store.Close)
	t.Cleanup(p.group.Close)
	for _, id := range []string{"a", "b", "c"} {
		p.members[id], err = p.group.Add(id)
		qt.Assert(t, err, qt.IsNil)
	}
	p.routes = []map[string]any{
		routeSpec("booking", "primary", false), routeSpec("catalogue", "bounded_staleness", false),
		routeSpec("ledger", "read_own_writes", false), routeSpec("shelf", "bounded_staleness", true),
	}
	p.tenants = []map[string]any{tenantSpec("shops", "key-1", "key-2"), tenantSpec("fitters", "key-3")}
	p.registerServers()
	p.writeConfiguration()
	return p
}

func routeSpec(host, kind string, public bool) map[string]any {
	return map[string]any{
		"host": host, "type": kind, "service": "rentals", "timeoutMs": 800, "targetLatencyMs": 400,
		"maxStalenessMs": 1500, "priority": 1, "public": public,
	}
}

func tenantSpec(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "ratePerS": 1000, "burst": 1000}
}

// registerServers writes the store entry of each server, with the role that the
// server reports.
func (p *testPlatform) registerServers() {
	leader := p.group.Primary()
	for id, m := range p.members {
		role := "replica"
		if id == leader {
			role = "primary"
		}
		p.store.Put("servers", id, map[string]any{
			"service": "rentals", "address": m.Address(), "zone": cmp.Or(p.zones[id], "centro"), "slots": 3,
			"state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

// writeConfiguration writes the next version of the configuration to the store.
func (p *testPlatform) writeConfiguration() {
	p.version++
	p.store.Put("config", "main", map[string]any{
		"version": p.version, "routes": p.routes, "tenants": p.tenants,
		"services": []any{map[string]any{"name": "rentals", "maxConnections": 40}},
		"limits":   map[string]any{"txIdleMs": 6000},
	})
}

// startInstance starts an instance and waits until it is ready.
func (p *testPlatform) startInstance(name string) *testInstance {
	logs := &lockedBuffer{}
	s := platform.Settings{
		InstanceID: identifier.InstanceID(name), DataCentre: "centro", IP: "127.0.0.1",
		ClientAddress: freeAddress(p.t), ProbeAddress: freeAddress(p.t), PeerAddress: freeAddress(p.t),
		StoreAddress: p.address, CloudAddress: p.address,
		Grace: 2 * time.Second, KeyWithdrawal: 5 * time.Second, EvacuationLimit: evacuationLimit,
		TokensChecked: !p.store.Unfenced,
	}
	i := &testInstance{
		Starter: &starter.Starter{Settings: s, Logger: zerolog.New(logs)},
		address: s.ClientAddress, logs: logs,
	}
	// A registration that exists before the start gives the instance its share of
	// the rates at once; a new registration waits for it.
	p.store.Put("instances", name, cataloger.Instance{ID: s.InstanceID, DataCentre: s.DataCentre, Address: s.PeerAddress})
	qt.Assert(p.t, i.Start(context.Background()), qt.IsNil)
	p.t.Cleanup(i.Close)
	p.instances = append(p.instances, i)
	waitUntil(p.t, "instance is ready", i.Ready)
	return i
}

// waitUntil polls a condition and fails the test if it does not hold in time.
func waitUntil(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("in %v not reached: %s", waitLimit, condition)
}

func freeAddress(t testing.TB) string {
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { allocator.Release(address) })
	return address
}

var executedName = regexp.MustCompile(`EXECUTE \S+`)

// executedStatements returns the statements of clients that the servers ran or
// refused, one per line with the result. The name of a prepared statement, which
// is that on the server's connection, is replaced by the shape that it has there.
func (p *testPlatform) executedStatements() string {
	var b strings.Builder
	for _, r := range p.group.Executions() {
		code := r.Code
		if code == "" {
			code = "OK"
		}
		text := r.Text
		if r.Shape != "" {
			text = executedName.ReplaceAllString(text, "EXECUTE ["+r.Shape+"]")
		}
		fmt.Fprintf(&b, "%s %s %s %s\n", r.Workspace, r.ID, text, code)
	}
	return b.String()
}
