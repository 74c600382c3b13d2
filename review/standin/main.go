// Command standin plays one case of the review: it starts instances of the project
// as separate processes, with stand-ins of the platform, a database group and
// clients on loopback, and checks one rule. It exits with 0 if the rule held, 1 if
// it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oleanderpulley/platform/imitator"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Names in the configuration of the cases.
const (
	serviceName = "rentas-core"
	tenantName  = "tenant-1"
	tenantKey   = "key-1"

	primaryRoute   = "fitting-booking"
	boundedRoute   = "catalogue-browse"
	ownWritesRoute = "deposit-ledger"
)

var (
	errUnknownCase = errors.New("unknown case")
	errNotReady    = errors.New("the instances are not ready in time")
)

// world is everything that a case runs against.
type world struct {
	store     *imitator.Store
	group     *group
	instances []*instance
	record    *recorder
	trouble   bool
	directory string

	mu sync.Mutex // Guards the end of the instances.
}

func main() {
	name := flag.String("case", "", "lost, late or prepared")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(*name, *record, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

func play(name, record string, trouble bool) (broken bool, err error) {
	cases := map[string]struct {
		syncReplicas int
		unfenced     bool // requireFencing is false.
		run          func(*world) (bool, error)
	}{
		"lost":     {1, false, playLost},
		"late":     {0, true, playLate},
		"prepared": {0, false, playPrepared},
	}
	c, ok := cases[name]
	if !ok {
		return false, fmt.Errorf("%w: %q", errUnknownCase, name)
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(directory)
		} else {
			fmt.Println("logs:", directory)
		}
	}()
	r, err := newRecorder(record)
	if err != nil {
		return false, err
	}
	w := &world{record: r, trouble: trouble, directory: directory}
	defer w.stop()
	go w.stopOnSignal()
	if err := w.start(c.syncReplicas, c.unfenced); err != nil {
		return false, err
	}
	return c.run(w)
}

// start starts the platform, three servers and an instance in each data centre, and
// waits until the instances are ready.
func (w *world) start(syncReplicas int, unfenced bool) error {
	w.record.event("trouble=%v syncReplicas=%d requireFencing=%v", w.trouble, syncReplicas, !unfenced)
	w.store = &imitator.Store{Unfenced: unfenced}
	w.group = &group{service: serviceName, sync: syncReplicas, unfenced: unfenced, record: w.record, register: w.register, remove: w.remove}
	w.store.Promote = func(_, id string) bool {
		accepted := w.group.promote(id)
		w.record.event("platform: promotion of %s executed, accepted=%v", id, accepted)
		return accepted
	}
	address, err := w.store.Start()
	if err != nil {
		return err
	}
	// An address range of this run, because each instance serves metrics on a fixed port.
	network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	zones := []string{"centro-a", "centro-b", "centro-c"}
	for i, zone := range zones {
		if _, err := w.group.add(fmt.Sprintf("i-server%d", i+1), zone, fmt.Sprint(network, 101+i)); err != nil {
			return err
		}
	}
	w.store.Put("config", "main", configuration(syncReplicas))
	for i, zone := range zones {
		n, err := startInstance(w.directory, "front-"+zone+"-1", zone, fmt.Sprint(network, 1+i), address, !unfenced)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.instances = append(w.instances, n)
		w.mu.Unlock()
	}
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.instances {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.instances) {
			w.record.event("all instances are ready")
			return nil
		}
	}
	return errNotReady
}

// stopOnSignal ends the processes of the case if it is ended itself.
func (w *world) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	w.stop()
	_ = os.RemoveAll(w.directory)
	os.Exit(exitNotRun)
}

func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.instances {
		n.stop()
	}
	w.instances = nil
	if w.store != nil {
		w.store.Close()
	}
	if os.Getenv("KEEP") != "" {
		files, _ := filepath.Glob(filepath.Join(w.directory, "*.log"))
		fmt.Println(files)
	}
}

// register writes the entry of a server to the store.
func (w *world) register(m *member) {
	g := m.group
	g.mu.Lock()
	up, state, role := m.up, "ready", "replica"
	if m.draining {
		state = "draining"
	}
	if m.leads {
		role = "primary"
	}
	born := m.born
	g.mu.Unlock()
	if !up {
		return
	}
	w.store.Put("servers", m.id, map[string]any{
		"service": g.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 3, "state": state,
		"coldRemainingMs": 0, "reportedRole": role, "sequence": 1, "born": born,
	})
}

func (w *world) remove(id string) {
	w.store.Remove("servers", id)
	w.record.event("platform: the entry of server %s has expired", id)
}

// configuration returns a configuration like that of obiseda-pool.
func configuration(syncReplicas int) any {
	route := func(host, kind string, timeout, target, staleness int) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "type": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": 1, "service": serviceName, "maxStalenessMs": staleness, "public": false,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route(primaryRoute, "primary", 800, 150, 0),
			route(boundedRoute, "bounded_staleness", 2000, 500, 1500),
			route(ownWritesRoute, "read_own_writes", 800, 250, 2500),
		},
		"services": []any{map[string]any{"name": serviceName, "maxConnections": 47, "syncReplicas": syncReplicas}},
		"limits":   map[string]any{"txIdleMs": 3000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "ratePerS": 135, "burst": 135}},
	}
}
