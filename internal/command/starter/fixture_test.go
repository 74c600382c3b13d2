package starter_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/command/starter"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/platform"
	"oleanderpulley/platform/imitator"
)

// waitLimit bounds every wait of these tests.
const waitLimit = 10 * time.Second

// world is a platform with one database group of three servers.
type world struct {
	t         testing.TB
	store     imitator.Store
	address   string
	group     imitator.Group
	members   map[string]*imitator.Member
	instances []*instance
	routes    []map[string]any
	tenants   []map[string]any
	version   int
}

// instance is a running instance and the address for its clients.
type instance struct {
	*starter.Starter
	address string
	logs    *lockedBuffer
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, members: map[string]*imitator.Member{}}
	w.group.Service = "rentals"
	w.store.Promote = func(_, id string) bool {
		promoted := w.group.Promote(id)
		w.register()
		return promoted
	}
	var err error
	w.address, err = w.store.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.store.Close)
	t.Cleanup(w.group.Close)
	for _, id := range []string{"a", "b", "c"} {
		w.members[id], err = w.group.Add(id)
		qt.Assert(t, err, qt.IsNil)
	}
	w.routes = []map[string]any{
		route("booking", "primary", false), route("catalogue", "bounded_staleness", false),
		route("ledger", "read_own_writes", false), route("shelf", "bounded_staleness", true),
	}
	w.tenants = []map[string]any{tenant("shops", 1000, "key-1", "key-2"), tenant("fitters", 1000, "key-3")}
	w.register()
	w.configure()
	return w
}

func route(host, kind string, public bool) map[string]any {
	return map[string]any{
		"host": host, "type": kind, "service": "rentals", "timeoutMs": 800, "targetLatencyMs": 400,
		"maxStalenessMs": 1500, "priority": 1, "public": public,
	}
}

func tenant(name string, rate float64, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate}
}

// register writes the servers' entries as they see themselves.
func (w *world) register() {
	leader := w.group.Leader()
	for id, m := range w.members {
		role := "replica"
		if id == leader {
			role = "primary"
		}
		w.store.Put("servers", id, map[string]any{
			"service": "rentals", "address": m.Address(), "zone": "centro", "slots": 3,
			"state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": w.routes, "tenants": w.tenants,
		"services": []any{map[string]any{"name": "rentals", "maxConnections": 40}},
		"limits":   map[string]any{"txIdleMs": 6000},
	})
}

// start runs an instance and waits until it is ready.
func (w *world) start(name string) *instance {
	logs := &lockedBuffer{}
	s := platform.Settings{
		InstanceID: identifier.InstanceID(name), DataCentre: "centro", IP: "127.0.0.1",
		ClientAddress: freeAddress(w.t), ProbeAddress: freeAddress(w.t), PeerAddress: freeAddress(w.t),
		StoreAddress: w.address, CloudAddress: w.address,
		Grace: 2 * time.Second, KeyWithdrawal: 5 * time.Second,
	}
	i := &instance{
		Starter: &starter.Starter{Settings: s, Logger: zerolog.New(logs)},
		address: s.ClientAddress, logs: logs,
	}
	// Registered by an earlier process, it has its part of the rates at once.
	w.store.Put("instances", name, cataloger.Member{ID: s.InstanceID, DataCentre: s.DataCentre, Address: s.PeerAddress})
	qt.Assert(w.t, i.Start(context.Background()), qt.IsNil)
	w.t.Cleanup(i.Close)
	w.instances = append(w.instances, i)
	await(w.t, "instance is ready", i.Ready)
	return i
}

// await polls a condition until it holds.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("in %v not reached: %s", waitLimit, what)
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// ran returns what the clients' statements did at the servers, one line each.
func (w *world) ran() string {
	var b strings.Builder
	for _, r := range w.group.Runs() {
		code := r.Code
		if code == "" {
			code = "OK"
		}
		fmt.Fprintf(&b, "%s %s %s %s\n", r.Workspace, r.ID, r.Text, code)
	}
	return b.String()
}
