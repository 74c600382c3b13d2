package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"oleanderpulley/platform/imitator"
)

// heartbeat is heartbeatMs.
const heartbeat = 1200 * time.Millisecond

// world is the platform, the backend servers and the instances of a case.
type world struct {
	rec          *record
	trouble      bool
	root         string
	directory    string // For settings and logs.
	network      string // First three numbers of the instances' loopback addresses.
	store        imitator.Store
	storeAt      string
	groups       []*imitator.Group
	members      map[string]*imitator.Member
	syncReplicas int // syncReplicas of each service.
	born         int64
	instances    []*instance
	version      int

	mu   sync.Mutex
	ids  map[string][]string // Of the servers, by service.
	away map[string]bool     // Servers that have crashed.
}

// newWorld starts a store without entries.
func newWorld(directory string) (*world, error) {
	rec, err := newRecord(directory)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, trouble: os.Getenv("TROUBLE") != "0", root: root, members: map[string]*imitator.Member{}, ids: map[string][]string{}, away: map[string]bool{}, born: time.Now().UnixMilli(),
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	if w.directory, err = os.MkdirTemp("", "review-stage-"); err != nil {
		return nil, err
	}
	w.store.Promote = w.promote
	w.storeAt, err = w.store.Start()
	return w, err
}

// promote performs the platform's promotion. It takes effect some hundred ms later.
func (w *world) promote(service, id string) bool {
	for _, g := range w.groups {
		if g.Service == service && w.members[id] != nil {
			w.rec.add("the platform promotes %s", id)
			time.AfterFunc(300*time.Millisecond, func() {
				if g.Promote(id) {
					w.rec.add("%s leads %s", id, service)
					w.registerAll(g)
				}
			})
			return true
		}
	}
	return false
}

// addService starts the servers of a service. The first one is the primary.
func (w *world) addService(service string, capacity imitator.Capacity, ids ...string) (*imitator.Group, error) {
	g := &imitator.Group{Service: service, Capacity: capacity}
	for _, id := range ids {
		m, err := g.Add(id)
		if err != nil {
			return nil, err
		}
		w.members[id] = m
	}
	w.groups = append(w.groups, g)
	w.ids[service] = ids
	w.registerAll(g)
	return g, nil
}

// registerAll writes the entries of all servers of a service that are not away.
func (w *world) registerAll(g *imitator.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.ids[g.Service] {
		role := "replica"
		if id == g.Primary() {
			role = "primary"
		}
		if !w.away[id] {
			w.register(g.Service, id, role, "z1")
		}
	}
}

// crash makes a server end, half a heartbeat after it has written its entry. The entry lapses
// after three heartbeats of silence.
func (w *world) crash(id string) {
	w.rec.add("server %s crashes", id)
	w.members[id].SetUnresponsive(true)
	w.mu.Lock()
	w.away[id] = true
	w.mu.Unlock()
	time.AfterFunc(5*heartbeat/2, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.away[id] {
			w.rec.add("the entry of %s lapses", id)
			w.store.Remove("servers", id)
		}
	})
}

// comeBack makes a server that has crashed come back with its log.
func (w *world) comeBack(g *imitator.Group, id string) {
	w.rec.add("server %s is back with its log", id)
	w.members[id].SetUnresponsive(false)
	w.mu.Lock()
	w.away[id] = false
	w.mu.Unlock()
	w.registerAll(g)
}

// register writes the entry of a server.
func (w *world) register(service, id, role, zone string) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": w.members[id].Address(), "zone": zone, "version": "v1", "slots": 4, "state": "ready",
		"coldRemainingMs": 0, "reportedRole": role, "sequence": 1, "born": w.born,
	})
}

// route is a route of the configuration.
type route struct {
	host, kind, service string
	timeout, target     time.Duration
	staleness           time.Duration
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

// configure writes the next version of the configuration.
func (w *world) configure(routes []route, tenants []tenant) {
	w.version += 3
	var rs, ts, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": "r-" + r.host, "host": r.host, "pathPrefix": "/", "type": r.kind, "service": r.service, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.target.Milliseconds(), "maxStalenessMs": r.staleness.Milliseconds(), "priority": 1, "maxAttempts": 2, "public": false,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	for _, g := range w.groups {
		ss = append(ss, map[string]any{
			"name": g.Service, "healthPath": "/health", "maxConnections": 60, "protocol": "h1", "tls": false, "syncReplicas": w.syncReplicas,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": rs, "tenants": ts, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	})
	w.rec.add("the store has acknowledged version %d of the configuration", w.version)
}

// startInstances starts the three instances of the zone z1.
func (w *world) startInstances() error {
	for n := range 3 {
		w.instances = append(w.instances, newInstance(instanceSettings{
			name: fmt.Sprintf("front-z1-%d", n+1), zone: "z1", ip: fmt.Sprintf("%s.%d", w.network, n+1), store: w.storeAt, cloud: w.storeAt,
			requireFencing: true, bootstrap: true, directory: w.directory, rootPath: w.root,
		}, w.rec))
	}
	return startAll(w.instances)
}

// recordRuns writes what the servers ran of the clients' statements.
func (w *world) recordRuns() {
	for _, g := range w.groups {
		for _, run := range g.Executions() {
			w.rec.addAt(run.At, "run by %s of %s: %s %s; log at %d.%d, code %q", run.Server, g.Service, run.ID, run.Text, run.Term, run.Received, run.Code)
		}
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, g := range w.groups {
		g.Close()
	}
	w.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", filepath.Clean(w.directory))
		return
	}
	_ = os.RemoveAll(w.directory) //nolint:gosec // The temporary folder of newWorld.
}
