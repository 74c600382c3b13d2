package launcher

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/command/runner"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/platformserver"
	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

const (
	backendPassword = "backend-only"
	readyTimeout    = 15 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// Launcher is an installation. The exported fields are set before Start; the
// zero value is one data centre with one instance and one service.
type Launcher struct {
	DataCentres []identifier.DataCentre // Default: centro-a.
	Instances   int                     // In each data centre; default 1.
	Services    []identifier.ServiceName
	Workspaces  map[identifier.WorkspaceName]configurer.Workspace // Services may be left out for all of them.
	Routes      map[string]configurer.Route
	Members     int // Backend servers of each service; default 3.
	// Member sets limits, costs and lags of a backend server before it starts.
	Member      func(*backendserver.Server)
	Slots       int // Stated in the configuration; default 10.
	Connections int // Stated in the configuration; default 100.
	ListLag     time.Duration
	AdminToken  string                                     // Token of the administration API; empty for none.
	Logger      func(identifier.InstanceID) zerolog.Logger // Nil logs nothing.
	// Override replaces parts of an instance before it starts.
	Override func(identifier.InstanceID, identifier.DataCentre) runner.Overrides

	Platform *platformserver.Server
	Groups   map[identifier.ServiceName]*backendserver.Group
	Keys     map[identifier.WorkspaceName]string

	mu        sync.Mutex
	address   string
	instances []*Instance
	started   int
}

// Instance is one instance of the proxy.
type Instance struct {
	*runner.Runner
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// Start starts the stand-ins and the instances, has the configuration accepted
// and waits until all instances are ready.
func (l *Launcher) Start(ctx context.Context) error {
	l.setDefaults()
	l.Platform = &platformserver.Server{ListLag: l.ListLag}
	address, err := l.Platform.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = address
	if err := l.startGroups(); err != nil {
		return err
	}
	for _, dc := range l.DataCentres {
		for range l.Instances {
			if _, err := l.Add(ctx, dc); err != nil {
				return err
			}
		}
	}
	if err := l.configure(ctx); err != nil {
		return err
	}
	for _, in := range l.All() {
		if err := in.WaitReady(ctx); err != nil {
			return err
		}
	}
	return l.awaitShares(ctx)
}

// Add starts one more instance and lists it on the platform.
func (l *Launcher) Add(ctx context.Context, dc identifier.DataCentre) (*Instance, error) {
	l.mu.Lock()
	l.started++
	id := identifier.InstanceID(fmt.Sprintf("%s-%d", dc, l.started))
	l.mu.Unlock()
	settings, err := loader.Source{Overrides: map[string]string{
		"instance_id": string(id), "data_centre": string(dc), "platform.url": "http://" + l.address,
		"clients.listen": "127.0.0.1:0", "admin.listen": "127.0.0.1:0", "peers.listen": "127.0.0.1:0", "metrics.listen": "127.0.0.1:0",
	}}.Load()
	if err != nil {
		return nil, err
	}
	settings.Backend.Password = backendPassword
	if l.AdminToken != "" {
		settings.Admin.Tokens = []loader.Token{{Operator: "launcher", Hash: configurer.HashKey(l.AdminToken)}}
	}
	in := &Instance{ID: id, DataCentre: dc, Runner: &runner.Runner{Settings: settings, Logger: zerolog.Nop()}}
	if l.Logger != nil {
		in.Logger = l.Logger(id)
	}
	if l.Override != nil {
		in.Override = l.Override(id, dc)
	}
	if err := in.Start(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.instances = append(l.instances, in)
	l.mu.Unlock()
	l.List()
	return in, nil
}

// All returns the instances that were not removed.
func (l *Launcher) All() []*Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Instance{}, l.instances...)
}

// DataCentreOf returns the data centre of the backend server or instance that
// listens on an address for SQL or for peers.
func (l *Launcher) DataCentreOf(address string) (identifier.DataCentre, bool) {
	for _, g := range l.Groups {
		for _, s := range g.Servers() {
			if s.Address() == address {
				return identifier.DataCentre(s.DataCentre), true
			}
		}
	}
	for _, in := range l.All() {
		if in.Addresses().Peers == address {
			return in.DataCentre, true
		}
	}
	return "", false
}

// Kill ends an instance without a drain. The platform lists it until List.
func (l *Launcher) Kill(in *Instance) {
	in.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.instances {
		if other == in {
			l.instances = append(l.instances[:i], l.instances[i+1:]...)
			return
		}
	}
}

// List tells the platform which instances and backend servers run, with the
// backend servers named as leaving.
func (l *Launcher) List(leaving ...identifier.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listed []platformserver.Instance
	for _, in := range l.instances {
		listed = append(listed, platformserver.Instance{
			ID: string(in.ID), Address: in.Addresses().Peers, DataCentre: string(in.DataCentre), Role: "entry", State: "live",
		})
	}
	for _, g := range l.Groups {
		for _, s := range g.Servers() {
			state := "live"
			for _, id := range leaving {
				if string(id) == s.ID {
					state = "leaving"
				}
			}
			listed = append(listed, platformserver.Instance{
				ID: s.ID, Address: s.Address(), DataCentre: s.DataCentre, Role: "backend", State: state,
			})
		}
	}
	l.Platform.SetInstances(listed...)
}

// URL returns the connection string of a workspace at an instance. Options are
// startup parameters.
func (l *Launcher) URL(in *Instance, service identifier.ServiceName, workspace identifier.WorkspaceName, options ...string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(string(workspace), l.Keys[workspace]),
		Host: in.Addresses().Clients, Path: "/" + string(service),
	}
	q := url.Values{"sslmode": {"disable"}}
	for i := 0; i+1 < len(options); i += 2 {
		q.Set(options[i], options[i+1])
	}
	u.RawQuery = q.Encode()
	return u.String()
}

// Close ends everything.
func (l *Launcher) Close() {
	var closing sync.WaitGroup
	for _, in := range l.All() {
		closing.Go(in.Close)
	}
	closing.Wait()
	for _, g := range l.Groups {
		_ = g.Close()
	}
	if l.Platform != nil {
		_ = l.Platform.Close()
	}
}

func (l *Launcher) setDefaults() {
	if len(l.DataCentres) == 0 {
		l.DataCentres = []identifier.DataCentre{"centro-a"}
	}
	l.Instances = max(l.Instances, 1)
	if l.Members == 0 {
		l.Members = 3
	}
	if l.Slots == 0 {
		l.Slots = 10
	}
	if l.Connections == 0 {
		l.Connections = 100
	}
	if len(l.Services) == 0 {
		l.Services = []identifier.ServiceName{"rentas-core-1"}
	}
	if l.Workspaces == nil {
		l.Workspaces = map[identifier.WorkspaceName]configurer.Workspace{"guadalajara": {Rate: 1000, Burst: 1000}}
	}
}

// startGroups places the members of each service in turn in the data centres.
func (l *Launcher) startGroups() error {
	l.Groups = map[identifier.ServiceName]*backendserver.Group{}
	for _, service := range l.Services {
		next := 0
		g, err := backendserver.StartGroup(string(service), l.Members, func(s *backendserver.Server) {
			s.DataCentre = string(l.DataCentres[next%len(l.DataCentres)])
			s.Password = backendPassword
			s.MaxConnections = l.Connections
			next++
			if l.Member != nil {
				l.Member(s)
			}
		})
		if err != nil {
			return err
		}
		l.Groups[service] = g
	}
	return nil
}
