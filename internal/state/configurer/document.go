package configurer

import (
	"oleanderpulley/internal/state/identifier"
)

// Document is one version of the configuration.
type Document struct {
	Version    identifier.ConfigVersion               `json:"version"`
	Services   map[identifier.ServiceName]Service     `json:"services"`
	Workspaces map[identifier.WorkspaceName]Workspace `json:"workspaces"`
	Keys       map[identifier.KeyID]Key               `json:"keys"`
	Routes     map[string]Route                       `json:"routes"`
	// EvacuatedDataCentres are the data centres to whose backend servers no
	// statements are sent. The field is absent from the encoding if it is empty,
	// so that instances that do not know it can read such a document.
	EvacuatedDataCentres []identifier.DataCentre `json:"evacuated_data_centres,omitempty"`

	keysByHash map[string]identifier.KeyID // Set by indexKeys.
}

// Service is a database that clients connect to by its name.
type Service struct {
	BackendServers map[identifier.BackendServerID]BackendServer `json:"backend_servers"`
}

// BackendServer is a member of the database group that serves a service.
type BackendServer struct {
	Address     string                `json:"address"` // IP address and port.
	DataCentre  identifier.DataCentre `json:"data_centre"`
	Slots       int                   `json:"slots"`       // Maximum number of concurrent statements.
	Connections int                   `json:"connections"` // Maximum number of connections, summed over all instances.
}

// Workspace is the unit that keys, rate limits and scheduling weights apply to.
type Workspace struct {
	Services []identifier.ServiceName `json:"services"`
	Rate     float64                  `json:"rate"`   // Requests per second, summed over all instances.
	Burst    float64                  `json:"burst"`  // Requests.
	Weight   float64                  `json:"weight"` // Relative share under contention; 0 means 1.
}

// Key is the credential of a client. Only its hash is stored.
type Key struct {
	Workspace identifier.WorkspaceName `json:"workspace"`
	Hash      string                   `json:"hash"` // Hexadecimal SHA-256 of the key.
}

// Route is a named set of rules for statements that are sent to a service.
type Route struct {
	Service       identifier.ServiceName   `json:"service"`
	Open          bool                     `json:"open"`           // Usable without a key; read-only.
	Workspace     identifier.WorkspaceName `json:"workspace"`      // The workspace whose rate limit an open route uses.
	MaxAge        Duration                 `json:"max_age"`        // Maximum staleness of the data read; 0 means session consistency.
	NotRepeatable bool                     `json:"not_repeatable"` // Requests must carry a request ID.
	Durable       bool                     `json:"durable"`        // Writes are acknowledged once a majority has received them.
}
