package cataloger

import (
	"reflect"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// ConfigurationChange is the difference between two versions of the configuration.
// Operators change few of its entries at a time, while the whole grows with the
// routes and workspaces of all customers.
type ConfigurationChange struct {
	Version           identifier.ConfigVersion               `cbor:"version"`
	Revision          Revision                               `cbor:"revision"`
	IdleTxLimit       time.Duration                          `cbor:"idle_tx_limit"`
	Routes            map[string]Route                       `cbor:"routes,omitempty"` // New and changed ones, as in the other maps.
	RemovedRoutes     []string                               `cbor:"removed_routes,omitempty"`
	Services          map[identifier.ServiceName]Service     `cbor:"services,omitempty"`
	RemovedServices   []identifier.ServiceName               `cbor:"removed_services,omitempty"`
	Workspaces        map[identifier.WorkspaceName]Workspace `cbor:"workspaces,omitempty"`
	RemovedWorkspaces []identifier.WorkspaceName             `cbor:"removed_workspaces,omitempty"`
	Keys              map[string]identifier.WorkspaceName    `cbor:"keys,omitempty"`
	RemovedKeys       []string                               `cbor:"removed_keys,omitempty"`
}

// changeTo returns the change that makes the next configuration out of this one.
func (c *Configuration) changeTo(next *Configuration) *ConfigurationChange {
	d := &ConfigurationChange{Version: next.Version, Revision: next.Revision, IdleTxLimit: next.IdleTxLimit}
	d.Routes, d.RemovedRoutes = changedEntries(c.Routes, next.Routes, deepEqual)
	d.Services, d.RemovedServices = changedEntries(c.Services, next.Services, equal)
	d.Workspaces, d.RemovedWorkspaces = changedEntries(c.Workspaces, next.Workspaces, deepEqual)
	d.Keys, d.RemovedKeys = changedEntries(c.Keys, next.Keys, equal)
	return d
}

// apply returns the configuration after the change.
func (c *Configuration) apply(d *ConfigurationChange) *Configuration {
	return &Configuration{
		Version:     d.Version,
		Revision:    d.Revision,
		IdleTxLimit: d.IdleTxLimit,
		Routes:      appliedEntries(c.Routes, d.Routes, d.RemovedRoutes),
		Services:    appliedEntries(c.Services, d.Services, d.RemovedServices),
		Workspaces:  appliedEntries(c.Workspaces, d.Workspaces, d.RemovedWorkspaces),
		Keys:        appliedEntries(c.Keys, d.Keys, d.RemovedKeys),
	}
}

// deepEqual compares entries that contain lists.
func deepEqual[V any](a, b V) bool {
	return reflect.DeepEqual(a, b)
}
