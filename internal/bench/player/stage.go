package player

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// serviceName is the only service of a day.
const serviceName = "rentals"

// stage is what a day is played on.
type stage struct {
	day       Day
	store     imitator.Store
	group     imitator.Group
	members   map[string]*imitator.Member
	proxies   map[string]*stager.Proxy // In front of the servers.
	instances []*stager.Process
	flood     atomic.Int64 // Load of the first workspace in floodUnit.
}

func newStage(d Day, program, directory string) (*stage, error) {
	s := &stage{day: d, members: map[string]*imitator.Member{}, proxies: map[string]*stager.Proxy{}}
	s.flood.Store(floodUnit)
	s.group.Service = serviceName
	s.group.Capacity = imitator.Capacity{
		Slots: d.Service.Slots, QueueLimit: d.Service.Queue,
		StatementTime: d.Service.Work.Duration(), ConnectTime: d.Service.Connect.Duration(),
	}
	s.store.Promote = func(_, id string) bool {
		defer s.register()
		return s.group.Promote(id)
	}
	address, err := s.store.Start()
	if err != nil {
		return nil, errors.Wrap(err, "starting the store")
	}
	for _, id := range []string{"a", "b", "c"} {
		if s.members[id], err = s.group.Add(id); err != nil {
			return nil, errors.Wrap(err, "starting a server")
		}
		if s.proxies[id], err = stager.NewProxy(s.members[id].Address()); err != nil {
			return nil, err
		}
	}
	s.register()
	s.configure()
	for i := range d.Instances {
		p, err := stager.NewProcess(stager.ProcessConfig{
			Program: program, Directory: directory, Name: fmt.Sprint("entry-", i),
			DataCentre: d.DataCentres[i%len(d.DataCentres)], StoreAddress: address,
		})
		if err != nil {
			return nil, err
		}
		s.instances = append(s.instances, p)
	}
	return s, stager.StartAll(s.instances)
}

func (s *stage) register() {
	leader := s.group.Leader()
	for i, id := range []string{"a", "b", "c"} {
		role := "replica"
		if id == leader {
			role = "primary"
		}
		s.store.Put("servers", id, map[string]any{
			"service": serviceName, "address": s.proxies[id].Address, "slots": s.day.Service.Slots,
			"zone": s.day.DataCentres[i%len(s.day.DataCentres)], "state": "ready", "reportedRole": role, "born": 1,
		})
	}
}

func (s *stage) configure() {
	var tenants, routes []any
	for _, w := range s.day.Workspaces {
		tenants = append(tenants, map[string]any{"name": w.Name, "apiKeys": []string{"key-" + w.Name}, "ratePerS": w.Rate, "burst": w.Rate})
	}
	for _, r := range s.day.Routes {
		routes = append(routes, map[string]any{
			"host": r.Name, "type": r.Consistency, "service": serviceName, "timeoutMs": float64(r.Timeout),
			"targetLatencyMs": float64(r.Target), "maxStalenessMs": float64(r.MaxStaleness), "priority": 1,
		})
	}
	s.store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": serviceName, "maxConnections": s.day.Service.MaxConnections}},
		"limits":   map[string]any{"txIdleMs": 6000},
	})
}

// inject plays the faults of the day from its start on.
func (s *stage) inject(start time.Time) {
	for _, f := range s.day.Faults {
		time.AfterFunc(time.Until(start.Add(f.At.Duration())), func() { Kinds[f.Kind](s, f) })
	}
}

func (s *stage) close() {
	for _, p := range s.instances {
		p.Close()
	}
	for _, p := range s.proxies {
		p.Close()
	}
	s.group.Close()
	s.store.Close()
}
