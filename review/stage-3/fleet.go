package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oleanderpulley/platform/imitator"
)

// Figures of the deployment obiseda-pool.
const (
	memoryMB  = 206
	graceTime = 6 * time.Second
	startTime = 20 * time.Second
	// overLimit is the number of ends by themselves of a process in a day that the rule
	// Fault counts.
	overLimit = 3
	service   = "rentas-core"
	tenant    = "shops"
	clientKey = "key-shops"
	usualRate = 400
	frontPort = "8465"
	readyPort = "8460"
)

// fleet is a small deployment: the platform and the backends in this process, and the
// instances as separate processes on loopback addresses of their own.
type fleet struct {
	record    *record
	directory string
	store     imitator.Store
	group     imitator.Group
	members   []*imitator.Member
	instances []*instance
}

// instance is a machine of the deployment with its process.
type instance struct {
	name, ip, settings string
	log                *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	peakMB  int
	overs   atomic.Int64 // Ends because of memory over the limit.
}

// load is what the backends can do and what the tenant may ask of them.
type load struct {
	rate     int // Operations a second of the tenant.
	capacity imitator.Capacity
	rows     func(id, item string) []string // Of the answer to a read; nil for the name of the item.
}

// newFleet starts the backends and fills the store.
func newFleet(r *record, l load) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, directory: directory}
	f.group.Service, f.group.Rows, f.group.Capacity = service, l.rows, l.capacity
	f.store.Promote = func(_, id string) bool { return f.group.Promote(id) }
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		m, err := f.group.Add(id)
		if err != nil {
			return nil, err
		}
		f.members = append(f.members, m)
	}
	f.register()
	f.configure(l.rate)
	return f, nil
}

// zones are the zones of the deployment.
var zones = []string{"centro-a", "centro-b", "centro-c"}

// register writes the entries of the backends.
func (f *fleet) register() {
	for i, m := range f.members {
		role := "replica"
		if f.group.Primary() == m.ID {
			role = "primary"
		}
		f.store.Put("servers", m.ID, map[string]any{
			"service": service, "address": m.Address(), "zone": zones[i], "version": "1", "slots": 3, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "reportedRole": role, "born": time.Now().UnixMilli(),
		})
	}
}

// configure writes the configuration.
func (f *fleet) configure(rate int) {
	var routes []any
	for _, kind := range []string{"primary", "bounded_staleness", "read_own_writes"} {
		routes = append(routes, map[string]any{
			"host": kind, "type": kind, "service": service, "timeoutMs": 2000, "targetLatencyMs": 500, "maxStalenessMs": 1500, "priority": 1,
		})
	}
	f.store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": service, "maxConnections": 47, "syncReplicas": 0}},
		"limits":   map[string]any{"txIdleMs": 5000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{clientKey}, "ratePerS": rate, "burst": rate}},
	})
}

// addInstances writes the settings of the instances and opens their logs.
func (f *fleet) addInstances(count int, store string) error {
	for i := range count {
		n := &instance{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), ip: fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1)}
		text := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=front
serves=front
ip=%s
zone=%s
region=mx-centro
zones.centro-a=mx-centro
zones.centro-b=mx-centro
zones.centro-c=mx-centro
listen.front=%s
listen.readiness=%s
internalPorts=7560,7575
bootstrap=false
limits.cpuShare=0.272
limits.cpuCores=1
limits.memoryMb=%d
limits.maxFds=3010
limits.linkMbps=700.0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.stableWindowMs=4000
bounds.drainTimeoutMs=7000
bounds.graceS=%d
bounds.configApplyMs=3000
bounds.revokeMs=5000
bounds.requireFencing=true
platform.address=%s
platform.form=objects
cloud.address=%s
`, n.name, n.ip, zones[i%len(zones)], n.front(), n.ip+":"+readyPort, memoryMB, int(graceTime.Seconds()), store, store)
		n.settings = filepath.Join(f.directory, n.name+".conf")
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil { //nolint:gosec // In a temporary folder.
			return err
		}
		log, err := os.Create(filepath.Join(f.directory, n.name+".log")) //nolint:gosec // In a temporary folder.
		if err != nil {
			return err
		}
		n.log = log
		f.instances = append(f.instances, n)
	}
	return nil
}

// start starts all instances and waits until they are ready.
func (f *fleet) start() error {
	for _, n := range f.instances {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.instances {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.instances) {
			return nil
		}
	}
	return fmt.Errorf("not all of the %d instances are ready after %v", len(f.instances), startTime)
}

func (f *fleet) close() {
	for _, n := range f.instances {
		n.kill()
		_ = n.log.Close()
	}
	f.group.Close()
	f.store.Close()
	_ = os.RemoveAll(f.directory) //nolint:gosec // A temporary folder of this process.
}

func (n *instance) front() string {
	return n.ip + ":" + frontPort
}

// start starts the process with the command of the deploy file.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command("target/oleanderpulley", "entry", "--config", "deploy/entry.jsonc")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERPULLEY_BOOT=" + n.settings}
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.command, n.done = c, done
	go func() {
		_ = c.Wait() // The error is that of the signal that ended it.
		close(done)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (n *instance) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.done
}

// isReady reports whether the readiness probe succeeds.
func (n *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ip + ":" + readyPort + "/v1/ready") //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process in MB, 0 if it has ended.
func (n *instance) memory() int {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}
