package cataloger

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/identifier"
)

// Change is the difference between two catalogs. It applies to any catalog with
// the same entries as the first one.
type Change struct {
	// Base is the digest of the catalog to which the change applies.
	Base uint64 `cbor:"base"`
	// Configuration is set if the first catalog has none. ConfigurationChange is set
	// if the configuration has changed. Neither is set if it has not.
	Configuration       *Configuration       `cbor:"configuration,omitempty"`
	ConfigurationChange *ConfigurationChange `cbor:"configuration_change,omitempty"`
	// Servers holds the complete lists of the services whose lists have changed.
	Servers            map[identifier.ServiceName][]BackendServer `cbor:"servers,omitempty"`
	Instances          map[identifier.InstanceID]Instance         `cbor:"members,omitempty"` // New and changed ones.
	RemovedInstances   []identifier.InstanceID                    `cbor:"removed_members,omitempty"`
	Leaderships        map[identifier.ServiceName]Leadership      `cbor:"leaderships,omitempty"` // New and changed ones.
	RemovedLeaderships []identifier.ServiceName                   `cbor:"removed_leaderships,omitempty"`
	Evacuations        map[identifier.DataCentre]Evacuation       `cbor:"evacuations,omitempty"` // New and changed ones.
	RemovedEvacuations []identifier.DataCentre                    `cbor:"removed_evacuations,omitempty"`
	Revision           Revision                                   `cbor:"revision"`
	Retained           int                                        `cbor:"retained"`
}

// Digest returns a digest of the configuration, servers, instances, leadership
// records and evacuations. Two catalogs with the same digest have the same entries: entries that
// differ have different revisions.
func (c *Catalog) Digest() uint64 {
	var sum uint64
	add := func(kind, name string, revision Revision) {
		// The sum does not depend on the order of the entries.
		sum += xxhash.Sum64String(kind + name + "/" + revision.digestText())
	}
	if c.Configuration != nil {
		add("configuration/", strconv.FormatUint(uint64(c.Configuration.Version), 36), c.Configuration.Revision)
	}
	for _, servers := range c.Servers {
		for _, s := range servers {
			add("server/", string(s.ID), s.Revision)
		}
	}
	for id, i := range c.Instances {
		add("instance/", string(id), i.Revision)
	}
	for service, l := range c.Leaderships {
		add("leadership/", string(service), l.Revision)
	}
	for dataCentre, e := range c.Evacuations {
		add("evacuation/", string(dataCentre), e.Revision)
	}
	return sum
}

// ChangeTo returns the change that makes the next catalog out of this one, whose
// digest is given.
func (c *Catalog) ChangeTo(next *Catalog, digest uint64) *Change {
	d := &Change{Base: digest, Revision: next.Revision, Retained: next.Retained}
	switch {
	case c.Configuration == next.Configuration:
	case c.Configuration == nil || next.Configuration == nil:
		d.Configuration = next.Configuration
	default:
		d.ConfigurationChange = c.Configuration.changeTo(next.Configuration)
	}
	d.Servers = map[identifier.ServiceName][]BackendServer{}
	for service, servers := range next.Servers {
		if !slices.Equal(c.Servers[service], servers) {
			d.Servers[service] = servers
		}
	}
	for service := range c.Servers {
		if _, ok := next.Servers[service]; !ok {
			d.Servers[service] = nil
		}
	}
	d.Instances, d.RemovedInstances = changedEntries(c.Instances, next.Instances, equal)
	d.Leaderships, d.RemovedLeaderships = changedEntries(c.Leaderships, next.Leaderships, equal)
	d.Evacuations, d.RemovedEvacuations = changedEntries(c.Evacuations, next.Evacuations, equal)
	return d
}

// changedEntries returns the new and changed entries and the keys of those that
// are gone.
func changedEntries[K comparable, V any](old, next map[K]V, same func(a, b V) bool) (changed map[K]V, removed []K) {
	changed = map[K]V{}
	for key, value := range next {
		if before, ok := old[key]; !ok || !same(before, value) {
			changed[key] = value
		}
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			removed = append(removed, key)
		}
	}
	return changed, removed
}

func equal[V comparable](a, b V) bool {
	return a == b
}

// Apply returns the catalog after the change. The digest of this one must be the
// base of the change.
func (c *Catalog) Apply(d *Change) *Catalog {
	next := &Catalog{Configuration: c.Configuration, Revision: d.Revision, Retained: d.Retained}
	switch {
	case d.Configuration != nil:
		next.Configuration = d.Configuration
	case d.ConfigurationChange != nil && c.Configuration != nil:
		next.Configuration = c.Configuration.apply(d.ConfigurationChange)
	}
	next.Servers = appliedEntries(c.Servers, d.Servers, nil)
	for service, servers := range d.Servers {
		if len(servers) == 0 {
			delete(next.Servers, service)
		}
	}
	next.Instances = appliedEntries(c.Instances, d.Instances, d.RemovedInstances)
	next.Leaderships = appliedEntries(c.Leaderships, d.Leaderships, d.RemovedLeaderships)
	next.Evacuations = appliedEntries(c.Evacuations, d.Evacuations, d.RemovedEvacuations)
	return next
}

// appliedEntries returns the entries after a change. It returns the old map if
// there is none.
func appliedEntries[K comparable, V any](old, changed map[K]V, removed []K) map[K]V {
	if len(changed) == 0 && len(removed) == 0 {
		return old
	}
	next := make(map[K]V, len(old)+len(changed))
	maps.Copy(next, old)
	maps.Copy(next, changed)
	for _, key := range removed {
		delete(next, key)
	}
	return next
}
