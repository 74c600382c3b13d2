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
	Service          identifier.ServiceName `cbor:"service"`
	Consistency      Consistency            `cbor:"consistency,omitempty"`
	MaxStaleness     time.Duration          `cbor:"max_staleness,omitempty"`
	StatementTimeout time.Duration          `cbor:"statement_timeout"` // Of one statement.
	TargetLatency    time.Duration          `cbor:"target_latency"`    // Of a whole operation.
	Priority         int                    `cbor:"priority,omitempty"`
	Public           bool                   `cbor:"public,omitempty"` // Needs no key.
}

// Workspace is the owner of keys and of a rate.
type Workspace struct {
	Name  identifier.WorkspaceName `cbor:"name"`
	Rate  float64                  `cbor:"rate"`  // Operations a second over all instances.
	Burst float64                  `cbor:"burst"` // Operations.
}

// Service is a database group.
type Service struct {
	MaxConnections int `cbor:"max_connections"` // Of one backend server, from all callers together.
	SyncReplicas   int `cbor:"sync_replicas"`   // Replicas that receive a commit before it is acknowledged.
}

// BackendServer is a registered member of a database group.
type BackendServer struct {
	ID          identifier.BackendServerID `cbor:"id"`
	Service     identifier.ServiceName     `cbor:"service"`
	DataCentre  identifier.DataCentre      `cbor:"data_centre"`
	Address     string                     `cbor:"address"`
	Slots       int                        `cbor:"slots"`
	Draining    bool                       `cbor:"draining,omitempty"`
	SaysPrimary bool                       `cbor:"says_primary,omitempty"` // How the server sees itself.

	// DrainingSince is the earliest time from which the server may have been
	// draining: the proof of the last catalog in which it was not. It is
	// zero if that is not known.
	DrainingSince time.Time `cbor:"-"`

	Born     int64  `cbor:"born"` // Unix milliseconds of its start; another value is another incarnation.
	Revision uint64 `cbor:"revision"`
}

// Configuration is one version of what the operators set.
type Configuration struct {
	Version     identifier.ConfigVersion               `cbor:"version"`
	Revision    uint64                                 `cbor:"revision"`
	Routes      map[string]Route                       `cbor:"routes"` // By database.
	Services    map[identifier.ServiceName]Service     `cbor:"services"`
	Workspaces  map[identifier.WorkspaceName]Workspace `cbor:"workspaces"`
	Keys        map[string]identifier.WorkspaceName    `cbor:"keys"`
	IdleTxLimit time.Duration                          `cbor:"idle_tx_limit"` // A transaction idle for longer may be ended.
}

// Member is a registered instance of this system.
type Member struct {
	ID         identifier.InstanceID `json:"id" cbor:"id"`
	DataCentre identifier.DataCentre `json:"data_centre" cbor:"data_centre"`
	Address    string                `json:"address" cbor:"address"` // For peers.
	Revision   uint64                `json:"-" cbor:"revision"`
}

// Catalog is one consistent view.
type Catalog struct {
	Configuration *Configuration                             `cbor:"configuration"` // Nil until the first one was read.
	Servers       map[identifier.ServiceName][]BackendServer `cbor:"servers"`
	Members       map[identifier.InstanceID]Member           `cbor:"members"`

	// Revision is the store's as of which the catalog is whole; 0 while it is
	// being read.
	Revision uint64 `cbor:"revision"`
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
