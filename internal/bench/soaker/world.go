package soaker

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// rates are the limits of the workspaces, in operations a second and as burst.
// The callers of desks ask for several times its rate.
var rates = map[string]int{"shops": 400, "fitters": 400, "desks": 30}

// world is the platform of a run: the stand-ins in this process, the instances
// as processes, and a proxy in front of whatever they connect to.
type world struct {
	soak      Soak
	directory string
	store     imitator.Store
	group     imitator.Group
	members   map[string]*imitator.Member
	proxies   map[string]*stager.Proxy // By server id; one for each instance's way to the store by its name.
	instances []*stager.Process

	mu        sync.Mutex
	version   int
	withdrawn map[string]time.Time // When the store acknowledged it, by key.
}

// keys are the callers' keys with their workspaces. Those that begin with
// oldKey are withdrawn by faults, one after the other.
var keys = []struct{ key, workspace string }{
	{"key-shops", "shops"}, {"key-fitters", "fitters"}, {"key-desks", "desks"},
	{oldKey + "1", "shops"}, {oldKey + "2", "fitters"}, {oldKey + "3", "shops"},
}

const oldKey = "key-old-"

const dataCentres = 2

func newWorld(s Soak, directory string) (*world, error) {
	w := &world{
		soak: s, directory: directory, members: map[string]*imitator.Member{}, proxies: map[string]*stager.Proxy{},
		withdrawn: map[string]time.Time{},
	}
	w.group.Service = "rentals"
	w.store.Promote = func(_, id string) bool {
		done := w.group.Promote(id)
		w.register()
		return done
	}
	address, err := w.store.Start()
	if err != nil {
		return nil, errors.Wrap(err, "starting the store")
	}
	for i := range s.Instances {
		if w.proxies[instanceName(i)], err = stager.NewProxy(address); err != nil {
			return nil, err
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		if w.members[id], err = w.group.Add(id); err != nil {
			return nil, errors.Wrap(err, "starting a server")
		}
		if w.proxies[id], err = stager.NewProxy(w.members[id].Address()); err != nil {
			return nil, err
		}
	}
	w.register()
	w.configure()
	return w, nil
}

func (w *world) register() {
	leader := w.group.Leader()
	for id := range w.members {
		role := "replica"
		if id == leader {
			role = "primary"
		}
		w.store.Put("servers", id, map[string]any{
			"service": "rentals", "address": w.proxies[id].Address, "zone": "one", "slots": 4,
			"state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

// configure writes the next configuration, without the withdrawn keys.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var tenants []any
	for _, name := range []string{"shops", "fitters", "desks"} {
		valid := []string{}
		for _, k := range keys {
			if _, gone := w.withdrawn[k.key]; k.workspace == name && !gone {
				valid = append(valid, k.key)
			}
		}
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": valid, "ratePerS": rates[name], "burst": rates[name]})
	}
	var routes []any
	for _, kind := range []string{"primary", "bounded_staleness", "read_own_writes"} {
		routes = append(routes, map[string]any{
			"host": kind, "type": kind, "service": "rentals", "timeoutMs": 800, "targetLatencyMs": 400,
			"maxStalenessMs": staleness.Milliseconds(), "priority": 1,
		})
	}
	w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "rentals", "maxConnections": 60}},
		"limits":   map[string]any{"txIdleMs": 3000},
	})
}

// withdraw takes the next of the old keys away. The time is when the store has
// acknowledged it.
func (w *world) withdraw() {
	w.mu.Lock()
	key := fmt.Sprint(oldKey, len(w.withdrawn)+1)
	w.withdrawn[key] = time.Now().Add(time.Hour)
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	w.withdrawn[key] = time.Now()
	w.mu.Unlock()
}

func (w *world) startAll() error {
	for i := range w.soak.Instances {
		name := instanceName(i)
		p, err := stager.NewProcess(stager.ProcessConfig{
			Program: w.soak.Program, Directory: w.directory, Name: name,
			DataCentre: fmt.Sprint("dc-", i%dataCentres), StoreAddress: w.proxies[name].Address,
		})
		if err != nil {
			return err
		}
		w.instances = append(w.instances, p)
	}
	return stager.StartAll(w.instances)
}

func instanceName(i int) string {
	return fmt.Sprint("entry-", i)
}

func (w *world) close() {
	for _, p := range w.instances {
		p.Close()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	w.group.Close()
	w.store.Close()
}
