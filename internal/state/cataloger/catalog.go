package cataloger

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Consistency is what the reads of a route may miss.
type Consistency uint8

// Consistencies of routes.
const (
	// PrimaryOnly reads see every acknowledged commit.
	PrimaryOnly Consistency = iota
	// BoundedStaleness reads see every commit acknowledged longer than
	// MaxStaleness ago.
	BoundedStaleness
	// ReadOwnWrites reads also see every commit of their session.
	ReadOwnWrites
)

// Route tells how the statements for a database are served.
type Route struct {
	Service          identifier.ServiceName
	Consistency      Consistency
	MaxStaleness     time.Duration
	StatementTimeout time.Duration // Of one statement.
	TargetLatency    time.Duration // Of a whole operation.
	Priority         int           // 0 is the highest.
	Public           bool          // Needs no key.
}

// Workspace is the owner of keys and of a rate.
type Workspace struct {
	Name  identifier.WorkspaceName
	Rate  float64 // Operations a second over all instances.
	Burst float64 // Operations.
}

// Service is a database group.
type Service struct {
	MaxConnections int // Of one backend server, from all callers together.
	SyncReplicas   int // Replicas that receive a commit before it is acknowledged.
}

// BackendServer is a registered member of a database group.
type BackendServer struct {
	ID          identifier.BackendServerID
	Service     identifier.ServiceName
	DataCentre  identifier.DataCentre
	Address     string
	Slots       int
	Draining    bool
	SaysPrimary bool  // How the server sees itself.
	Born        int64 // Unix milliseconds of its start; another value is another incarnation.
	Revision    uint64
}

// Configuration is one version of what the operators set.
type Configuration struct {
	Version     identifier.ConfigVersion
	Revision    uint64
	Routes      map[string]Route // By database.
	Services    map[identifier.ServiceName]Service
	Workspaces  map[identifier.WorkspaceName]Workspace
	Keys        map[string]identifier.WorkspaceName
	IdleTxLimit time.Duration // A transaction idle for longer may be ended.
}

// Member is a registered instance of this system.
type Member struct {
	ID         identifier.InstanceID `json:"id"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Address    string                `json:"address"` // For peers.
	Revision   uint64                `json:"-"`
}

// Catalog is one consistent view.
type Catalog struct {
	Configuration *Configuration // Nil until the first one was read.
	Servers       map[identifier.ServiceName][]BackendServer
	Members       map[identifier.InstanceID]Member
}

// Route returns the route of a database.
func (c *Catalog) Route(database string) (Route, bool) {
	if c == nil || c.Configuration == nil {
		return Route{}, false
	}
	r, ok := c.Configuration.Routes[database]
	return r, ok
}

// Owner returns the workspace that holds a key.
func (c *Catalog) Owner(key string) (identifier.WorkspaceName, bool) {
	if c == nil || c.Configuration == nil {
		return "", false
	}
	w, ok := c.Configuration.Keys[key]
	return w, ok
}

// Server returns the registered backend server with the id.
func (c *Catalog) Server(service identifier.ServiceName, id identifier.BackendServerID) (BackendServer, bool) {
	if c == nil {
		return BackendServer{}, false
	}
	for _, s := range c.Servers[service] {
		if s.ID == id {
			return s, true
		}
	}
	return BackendServer{}, false
}
