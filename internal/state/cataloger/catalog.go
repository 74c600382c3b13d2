package cataloger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/identifier"
)

// Consistency determines which acknowledged commits the reads of a route may
// miss.
type Consistency uint8

// Consistency levels of routes.
const (
	// PrimaryOnly reads see every acknowledged commit.
	PrimaryOnly Consistency = iota
	// BoundedStaleness reads see every commit that was acknowledged more than
	// MaxStaleness ago.
	BoundedStaleness
	// ReadOwnWrites reads see what BoundedStaleness reads see, and every commit
	// of their own session.
	ReadOwnWrites
)

// Route configures how the statements for a database are served.
type Route struct {
	Service          identifier.ServiceName `cbor:"service"`
	Consistency      Consistency            `cbor:"consistency,omitempty"`
	MaxStaleness     time.Duration          `cbor:"max_staleness,omitempty"`
	StatementTimeout time.Duration          `cbor:"statement_timeout"` // For one statement.
	TargetLatency    time.Duration          `cbor:"target_latency"`    // For an entire operation.
	Priority         int                    `cbor:"priority,omitempty"`
	Public           bool                   `cbor:"public,omitempty"` // Requires no key.
	// Regions are those in which the statements may run. Empty means all.
	Regions []identifier.Region `cbor:"regions,omitempty"`
}

// Workspace is a customer of the platform, with keys and a rate limit.
type Workspace struct {
	Name  identifier.WorkspaceName `cbor:"name"`
	Rate  float64                  `cbor:"rate"`  // Operations per second over all instances.
	Burst float64                  `cbor:"burst"` // Operations over all instances.
	// Regions are those in which the statements may run. Empty means all.
	Regions []identifier.Region `cbor:"regions,omitempty"`
}

// Service is the configuration of a database group.
type Service struct {
	MaxConnections int `cbor:"max_connections"` // To one backend server, from all instances together.
	SyncReplicas   int `cbor:"sync_replicas"`   // Replicas that receive a commit before it is acknowledged.
	// ColdRate is the number of statements a second that a cold server may get
	// from all instances together. 0 means no limit.
	ColdRate float64 `cbor:"cold_rate,omitempty"`
}

// BackendServer is a registered member of a database group.
type BackendServer struct {
	ID            identifier.BackendServerID `cbor:"id"`
	Service       identifier.ServiceName     `cbor:"service"`
	DataCentre    identifier.DataCentre      `cbor:"data_centre"`
	Address       string                     `cbor:"address"`
	Slots         int                        `cbor:"slots"`
	Draining      bool                       `cbor:"draining,omitempty"`
	ClaimsPrimary bool                       `cbor:"says_primary,omitempty"` // The server's own claim.

	// DrainingSince is the earliest time at which the server may have started
	// to drain: the proof of the last catalog in which it was not draining. It
	// is zero if that time is not known.
	DrainingSince time.Time `cbor:"-"`

	// Evacuated reports that operators have requested that no statements are sent
	// to the servers of its data centre. EvacuatedSince is the earliest time at
	// which they may have done so, like DrainingSince.
	Evacuated      bool      `cbor:"-"`
	EvacuatedSince time.Time `cbor:"-"`

	// ColdRemaining is the time for which the server will be slow after its
	// start, as of its registration. ColdUntil is the latest time at which that
	// may end, by the clock of this instance; it is zero for a warm server.
	ColdRemaining time.Duration `cbor:"cold_remaining,omitempty"`
	ColdUntil     time.Time     `cbor:"-"`

	Born     int64    `cbor:"born"` // Start time in Unix milliseconds, which identifies the incarnation.
	Revision Revision `cbor:"revision"`
}

// IsLeaving reports whether the server gets no reads and must not become the
// primary, because it drains or its data centre is evacuated.
func (s BackendServer) IsLeaving() bool {
	return s.Draining || s.Evacuated
}

// IsCold reports whether the server is still slow after its start.
func (s BackendServer) IsCold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// Evacuation is the operators' request that no statements are sent to the backend
// servers of a data centre. It holds until it is removed from the store.
type Evacuation struct {
	Revision Revision `cbor:"revision"`
}

// Configuration is one version of the configuration that the operators set.
type Configuration struct {
	Version     identifier.ConfigVersion               `cbor:"version"`
	Revision    Revision                               `cbor:"revision"`
	Routes      map[string]Route                       `cbor:"routes"` // By database.
	Services    map[identifier.ServiceName]Service     `cbor:"services"`
	Workspaces  map[identifier.WorkspaceName]Workspace `cbor:"workspaces"`
	Keys        map[string]identifier.WorkspaceName    `cbor:"keys"`
	IdleTxLimit time.Duration                          `cbor:"idle_tx_limit"` // Transactions that are idle for longer may be ended.
}

// Instance is a registered instance of the proxy.
type Instance struct {
	ID         identifier.InstanceID `json:"id" cbor:"id"`
	DataCentre identifier.DataCentre `json:"data_centre" cbor:"data_centre"`
	Address    string                `json:"address" cbor:"address"` // For peers.
	// Processor is the share of a processor core that the instance may use, in
	// thousandths. It is 0 if the instance has not told it.
	Processor int      `json:"processor,omitempty" cbor:"processor,omitempty"`
	Revision  Revision `json:"-" cbor:"revision"`
}

// SortByRank sorts items by the rank of their instances for work that a few do for all
// others of their data centre: first those with the larger share of a processor, then
// by a hash of the id.
func SortByRank[T any](items []T, instance func(T) Instance) {
	type ranked struct {
		item      T
		id        identifier.InstanceID
		processor int
		hash      uint64
	}
	all := make([]ranked, len(items))
	for i, item := range items {
		m := instance(item)
		all[i] = ranked{item, m.ID, m.Processor, xxhash.Sum64String("relay/" + string(m.ID))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.processor, a.processor), cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	for i, r := range all {
		items[i] = r.item
	}
}

// Catalog is a consistent snapshot of the configuration, the registered backend
// servers, the registered instances and the leadership records.
type Catalog struct {
	Configuration *Configuration                             `cbor:"configuration"` // Nil until a first version is read.
	Servers       map[identifier.ServiceName][]BackendServer `cbor:"servers"`
	Instances     map[identifier.InstanceID]Instance         `cbor:"members"`
	Leaderships   map[identifier.ServiceName]Leadership      `cbor:"leaderships"`
	Evacuations   map[identifier.DataCentre]Evacuation       `cbor:"evacuations,omitempty"`

	// Revision is the revision of the store as of which the catalog is
	// complete. It is zero while the catalog is still being read.
	Revision Revision `cbor:"revision"`
	// Retained is the number of entries that the store no longer has and that
	// are kept for a while. They go without a change of the revision.
	Retained int `cbor:"retained"`
}

// Since returns the catalog without its configuration if that has not changed
// since the known revision. A configuration from before the store's era is always
// included, because the store may lack it.
func (c *Catalog) Since(known Revision) *Catalog {
	if c.Configuration == nil || c.Configuration.Revision.IsAfter(known) || c.Configuration.Revision.Era != known.Era {
		return c
	}
	next := *c
	next.Configuration = nil
	return &next
}

// Route returns the route of a database.
func (c *Catalog) Route(database string) (Route, bool) {
	if c == nil || c.Configuration == nil {
		return Route{}, false
	}
	r, ok := c.Configuration.Routes[database]
	return r, ok
}

// Owner returns the workspace that owns a key. The empty text is no key: a client
// without one cannot be told from it.
func (c *Catalog) Owner(key string) (identifier.WorkspaceName, bool) {
	if c == nil || c.Configuration == nil || key == "" {
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
