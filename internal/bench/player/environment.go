package player

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// serviceName is the name of the only service.
const serviceName = "rentals"

// environment is what a day runs on: the fakes in this process, the instances as
// separate processes, and the proxies in front of the backend servers.
type environment struct {
	day         Day
	store       imitator.Store
	group       imitator.Group
	members     map[string]*imitator.Member
	proxies     map[string]*stager.Proxy // To the backend servers, by their ids.
	instances   []*stager.Process
	floodFactor atomic.Int64 // Load of the first workspace; floodScale stands for its normal load.
}

func newEnvironment(d Day, program, directory string) (*environment, error) {
	e := &environment{day: d, members: map[string]*imitator.Member{}, proxies: map[string]*stager.Proxy{}}
	e.floodFactor.Store(floodScale)
	e.group.Service = serviceName
	e.group.Capacity = imitator.Capacity{
		Slots: d.Service.Slots, QueueLimit: d.Service.QueueLimit,
		StatementTime: d.Service.StatementTime.Duration(), ConnectTime: d.Service.ConnectTime.Duration(),
	}
	e.store.Promote = func(_, id string) bool {
		defer e.registerServers()
		return e.group.Promote(id)
	}
	address, err := e.store.Start()
	if err != nil {
		return nil, errors.Wrap(err, "starting the store")
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
	for i := range d.Instances {
		p, err := stager.NewProcess(stager.ProcessConfig{
			Program: program, Directory: directory, Name: fmt.Sprint("entry-", i),
			DataCentre: d.DataCentres[i%len(d.DataCentres)], StoreAddress: address,
		})
		if err != nil {
			return nil, err
		}
		e.instances = append(e.instances, p)
	}
	return e, stager.StartAll(e.instances)
}

func (e *environment) registerServers() {
	primary := e.group.Primary()
	for i, id := range []string{"a", "b", "c"} {
		role := "replica"
		if id == primary {
			role = "primary"
		}
		e.store.Put("servers", id, map[string]any{
			"service": serviceName, "address": e.proxies[id].Address, "slots": e.day.Service.Slots,
			"zone": e.day.DataCentres[i%len(e.day.DataCentres)], "state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

func (e *environment) writeConfiguration() {
	var tenants, routes []any
	for _, w := range e.day.Workspaces {
		tenants = append(tenants, map[string]any{"name": w.Name, "apiKeys": []string{"key-" + w.Name}, "ratePerS": w.Rate, "burst": w.Rate})
	}
	for _, r := range e.day.Routes {
		routes = append(routes, map[string]any{
			"host": r.Name, "type": r.Consistency, "service": serviceName, "timeoutMs": float64(r.Timeout),
			"targetLatencyMs": float64(r.Target), "maxStalenessMs": float64(r.MaxStaleness), "priority": 1,
		})
	}
	e.store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": serviceName, "maxConnections": e.day.Service.MaxConnections}},
		"limits":   map[string]any{"txIdleMs": 6000},
	})
}

// scheduleFaults schedules the faults of the day relative to its start.
func (e *environment) scheduleFaults(start time.Time) {
	for _, f := range e.day.Faults {
		time.AfterFunc(time.Until(start.Add(f.At.Duration())), func() { FaultKinds[f.Kind](e, f) })
	}
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
