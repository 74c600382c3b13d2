package launcher

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/command/runner"
	"oleanderpulley/internal/fake/allocator"
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

// Launcher runs an installation. The fields from DataCentres to Overrides are set
// before Start; their zero values give one data centre with one instance and one
// service. Start sets Platform, Groups and Keys.
type Launcher struct {
	DataCentres       []identifier.DataCentre // Default: centro-a.
	Instances         int                     // Per data centre; default 1.
	Services          []identifier.ServiceName
	Workspaces        map[identifier.WorkspaceName]configurer.Workspace // A workspace without services gets all of them.
	Routes            map[string]configurer.Route
	ServersPerService int // Default 3.
	// ConfigureServer configures a backend server before it starts: its limits, costs and
	// lags.
	ConfigureServer func(*backendserver.Server)
	Slots           int                                        // Slots of a backend server in the configuration; default 10.
	Connections     int                                        // Connection limit of a backend server, also in the configuration; default 100.
	ListLag         time.Duration                              // Delay until the platform shows a change of its instance list.
	AdminToken      string                                     // Token of the administration API; without one if empty.
	Logger          func(identifier.InstanceID) zerolog.Logger // Returns the logger of an instance; nil disables logging.
	// Overrides returns the replacements for components of an instance.
	Overrides func(identifier.InstanceID, identifier.DataCentre) runner.Overrides

	Platform *platformserver.Server
	Groups   map[identifier.ServiceName]*backendserver.Group
	Keys     map[identifier.WorkspaceName]string // Secret keys, the passwords of clients.

	mu               sync.Mutex
	platformAddress  string
	instances        []*Instance
	instancesStarted int // Ever started; numbers their identities.
}

// Instance is an instance of the proxy.
type Instance struct {
	*runner.Runner
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// Start starts the fakes and the instances, proposes the configuration, and
// waits until all instances are ready and serve every workspace.
func (l *Launcher) Start(ctx context.Context) error {
	l.setDefaults()
	l.Platform = &platformserver.Server{ListLag: l.ListLag}
	address, err := allocator.FreeAddress() // Its faults stop and restart the listener.
	if err != nil {
		return err
	}
	l.platformAddress = address
	if _, err := l.Platform.Start(address); err != nil {
		return err
	}
	if err := l.startGroups(); err != nil {
		return err
	}
	for _, dc := range l.DataCentres {
		for range l.Instances {
			if _, err := l.AddInstance(ctx, dc); err != nil {
				return err
			}
		}
	}
	if err := l.proposeInitialConfiguration(ctx); err != nil {
		return err
	}
	for _, in := range l.All() {
		if err := in.WaitReady(ctx); err != nil {
			return err
		}
	}
	return l.waitWorkspacesServed(ctx)
}

// AddInstance starts another instance and publishes it in the platform's list.
func (l *Launcher) AddInstance(ctx context.Context, dc identifier.DataCentre) (*Instance, error) {
	l.mu.Lock()
	l.instancesStarted++
	id := identifier.InstanceID(fmt.Sprintf("%s-%d", dc, l.instancesStarted))
	l.mu.Unlock()
	settings, err := loader.Source{Overrides: map[string]string{
		"instance_id": string(id), "data_centre": string(dc), "platform.url": "http://" + l.platformAddress,
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
	if l.Overrides != nil {
		in.Override = l.Overrides(id, dc)
	}
	if err := in.Start(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.instances = append(l.instances, in)
	l.mu.Unlock()
	l.PublishInstances()
	return in, nil
}

// All returns the instances that have not been killed.
func (l *Launcher) All() []*Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Instance{}, l.instances...)
}

// DataCentreOf returns the data centre of the backend server that listens for
// SQL, or of the instance that listens for peers, on an address.
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

// Kill stops an instance without draining it. The platform's list contains it
// until the next call of PublishInstances.
func (l *Launcher) Kill(in *Instance) {
	in.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, candidate := range l.instances {
		if candidate == in {
			l.instances = append(l.instances[:i], l.instances[i+1:]...)
			return
		}
	}
}

// PublishInstances publishes the running instances and all backend servers in the platform's
// list. The given backend servers get the state leaving.
func (l *Launcher) PublishInstances(leaving ...identifier.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []platformserver.Instance
	for _, in := range l.instances {
		entries = append(entries, platformserver.Instance{
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
			entries = append(entries, platformserver.Instance{
				ID: s.ID, Address: s.Address(), DataCentre: s.DataCentre, Role: "backend", State: state,
			})
		}
	}
	l.Platform.SetInstances(entries...)
}

// URL returns the connection string with which a workspace connects to a service
// through an instance. Options are names and values of startup parameters in
// turn.
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

// Close stops the instances, the backend servers and the platform.
func (l *Launcher) Close() {
	var wg sync.WaitGroup
	for _, in := range l.All() {
		wg.Go(in.Close)
	}
	wg.Wait()
	for _, g := range l.Groups {
		_ = g.Close()
	}
	if l.Platform != nil {
		_ = l.Platform.Close()
	}
	if l.platformAddress != "" {
		allocator.Release(l.platformAddress)
		l.platformAddress = ""
	}
}

func (l *Launcher) setDefaults() {
	if len(l.DataCentres) == 0 {
		l.DataCentres = []identifier.DataCentre{"centro-a"}
	}
	l.Instances = max(l.Instances, 1)
	if l.ServersPerService == 0 {
		l.ServersPerService = 3
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

// startGroups starts the backend servers of each service and distributes them
// over the data centres in round-robin order.
func (l *Launcher) startGroups() error {
	l.Groups = map[identifier.ServiceName]*backendserver.Group{}
	for _, service := range l.Services {
		placed := 0
		group, err := backendserver.StartGroup(string(service), l.ServersPerService, func(s *backendserver.Server) {
			s.DataCentre = string(l.DataCentres[placed%len(l.DataCentres)])
			s.Password = backendPassword
			s.MaxConnections = l.Connections
			placed++
			if l.ConfigureServer != nil {
				l.ConfigureServer(s)
			}
		})
		if err != nil {
			return err
		}
		l.Groups[service] = group
	}
	return nil
}
