package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// workspaceRates limit each workspace, in operations per second; the burst is the same
// number. The load of the workspace desks exceeds its rate several times.
var workspaceRates = map[string]int{"shops": 400, "fitters": 400, "desks": 30}

// environment is what a run consists of: the fakes in this process, the instances as
// separate processes, and the proxies between them.
type environment struct {
	soak      Soak
	directory string
	store     imitator.Store
	group     imitator.Group
	members   map[string]*imitator.Member
	keys      []credential
	repeats   atomic.Int64             // Answers that the backend servers sent again.
	proxies   map[string]*stager.Proxy // To a backend server by its id; to the store by the name of the instance.
	instances []*stager.Process
	// promotionDelay is the time from the execution of a promotion until the server
	// leads, with what it has received by then.
	promotionDelay time.Duration

	mu            sync.Mutex
	configVersion int
	away          map[string]bool // Backend servers whose registration has lapsed.
	restarts      map[string]int  // Number of restarts without a log, by backend server.
	freezes       []freeze
	withdrawn     map[string]time.Time // Time at which the store acknowledged the withdrawal, by key.
}

// credential is a key with its workspace.
type credential struct{ key, workspace string }

// plainKeys are keys of the clients. Those that begin with withdrawableKeyPrefix are
// withdrawn by faults, one after another.
var plainKeys = []credential{
	{"key-shops", "shops"}, {"key-fitters", "fitters"}, {"key-desks", "desks"},
	{withdrawableKeyPrefix + "1", "shops"}, {withdrawableKeyPrefix + "2", "fitters"}, {withdrawableKeyPrefix + "3", "shops"},
}

// oddKeys have characters that a reader of STARTUP may split at or trim.
var oddKeys = []credential{{"key \tshops \r", "shops"}, {"\u0085key\nfitters\u00a0", "fitters"}}

// routeKinds are the kinds of routes.
var routeKinds = []string{"primary", "bounded_staleness", "read_own_writes"}

// oddHostSuffix follows the name of a kind in the names of its second database.
const oddHostSuffix = "\t\u0085"

// hosts returns the names of the databases with a route of the kind.
func (s Soak) hosts(kind string) []string {
	if s.OldProgram != "" {
		return []string{kind}
	}
	return []string{kind, kind + oddHostSuffix}
}

const withdrawableKeyPrefix = "key-old-"

const dataCentres = 2

// statementTimeout is that of the routes.
const statementTimeout = 800 * time.Millisecond

// Bounds of the time until a promotion takes effect.
const (
	minPromotionDelay = 200 * time.Millisecond
	maxPromotionDelay = 900 * time.Millisecond
)

func newEnvironment(s Soak, directory string) (*environment, error) {
	e := &environment{
		soak: s, directory: directory, members: map[string]*imitator.Member{}, proxies: map[string]*stager.Proxy{},
		withdrawn: map[string]time.Time{}, restarts: map[string]int{}, away: map[string]bool{}, keys: plainKeys,
	}
	if s.OldProgram == "" { // Builds up to f789805 split keys.
		e.keys = slices.Concat(plainKeys, oddKeys)
	}
	e.group.Rows = s.drawRows()
	e.group.Service = "rentals"
	if s.Fault == stopFault { // Statements must run for long enough to be open when an instance ends.
		e.group.Capacity = imitator.Capacity{Slots: 12, QueueLimit: 64, StatementTime: 60 * time.Millisecond}
	}
	e.group.Unfenced, e.store.Unfenced = s.Unfenced, s.Unfenced
	e.promotionDelay = minPromotionDelay + time.Duration(rand.New(rand.NewPCG(s.Seed, 2)).Int64N(int64(maxPromotionDelay-minPromotionDelay)))
	e.store.Promote = e.promote
	e.store.SetNumbering(s.drawNumbering())
	address, err := e.store.Start()
	if err != nil {
		return nil, errors.Wrap(err, "starting the store")
	}
	for i := range s.Instances {
		if e.proxies[instanceName(i)], err = stager.NewProxy(address); err != nil {
			return nil, err
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		if e.members[id], err = e.group.Add(id); err != nil {
			return nil, errors.Wrapf(err, "starting backend server %s", id)
		}
		if e.proxies[id], err = stager.NewProxy(e.members[id].Address()); err != nil {
			return nil, err
		}
	}
	e.registerServers()
	e.writeConfiguration()
	return e, nil
}

// promote accepts the promotion of a server. It takes effect some time later.
func (e *environment) promote(_, id string) bool {
	time.AfterFunc(e.promotionDelay, func() {
		if e.group.Promote(id) {
			e.registerServers()
		}
	})
	return e.members[id] != nil
}

func (e *environment) registerServers() {
	primary := e.group.Primary()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.members {
		if e.away[id] {
			continue
		}
		role := "replica"
		if id == primary {
			role = "primary"
		}
		e.store.Put("servers", id, map[string]any{
			"service": "rentals", "address": e.proxies[id].Address, "zone": "one", "slots": 4,
			"state": "ready", "reportedRole": role, "born": 1 + e.restarts[id],
		})
	}
}

// writeConfiguration writes the next version of the configuration, without the
// withdrawn keys.
func (e *environment) writeConfiguration() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configVersion++
	e.putConfiguration()
}

// rewriteConfiguration writes the present version again.
func (e *environment) rewriteConfiguration() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.putConfiguration()
}

// putConfiguration writes the present version. The caller holds mu.
func (e *environment) putConfiguration() {
	var tenants []any
	for _, name := range []string{"shops", "fitters", "desks"} {
		valid := []string{}
		for _, k := range e.keys {
			if _, isWithdrawn := e.withdrawn[k.key]; k.workspace == name && !isWithdrawn {
				valid = append(valid, k.key)
			}
		}
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": valid, "ratePerS": workspaceRates[name], "burst": workspaceRates[name]})
	}
	var routes []any
	for _, kind := range routeKinds {
		for _, host := range e.soak.hosts(kind) {
			routes = append(routes, map[string]any{
				"host": host, "type": kind, "service": "rentals", "timeoutMs": statementTimeout.Milliseconds(), "targetLatencyMs": 400,
				"maxStalenessMs": maxStaleness.Milliseconds(), "priority": 1,
			})
		}
	}
	e.store.Put("config", "main", map[string]any{
		"version": e.configVersion, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "rentals", "maxConnections": 60, "syncReplicas": e.soak.syncReplicas()}},
		"limits":   map[string]any{"txIdleMs": 3000},
	})
}

// withdrawNextKey removes the next withdrawable key from the configuration and
// records the time at which the store acknowledged it.
func (e *environment) withdrawNextKey() {
	e.mu.Lock()
	key := fmt.Sprint(withdrawableKeyPrefix, len(e.withdrawn)+1)
	e.withdrawn[key] = time.Now().Add(time.Hour) // Later than the run, until the store has acknowledged it.
	e.mu.Unlock()
	e.writeConfiguration()
	e.mu.Lock()
	e.withdrawn[key] = time.Now()
	e.mu.Unlock()
}

func (e *environment) startInstances(plan upgradePlan) error {
	for i := range e.soak.Instances {
		name := instanceName(i)
		p, err := stager.NewProcess(stager.ProcessConfig{
			Program: e.soak.program(plan.start[i]), Directory: e.directory, Name: name,
			DataCentre: fmt.Sprint("dc-", i%dataCentres), StoreAddress: e.proxies[name].Address, Unfenced: e.soak.Unfenced,
		})
		if err != nil {
			return err
		}
		e.instances = append(e.instances, p)
	}
	return stager.StartAll(e.instances)
}

func instanceName(i int) string {
	return fmt.Sprint("entry-", i)
}

func (e *environment) close() {
	for _, p := range e.instances {
		p.Close()
	}
	for _, p := range e.proxies {
		p.Close()
	}
	e.group.Close()
	e.store.Close()
}
