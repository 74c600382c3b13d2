package runner

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// seriesCache holds the metric series of each workspace and service, so that
// their names are not built for each statement.
type seriesCache struct {
	mu    sync.RWMutex
	byKey map[seriesKey]*seriesSet
}

type seriesKey struct {
	workspace identifier.WorkspaceName
	service   identifier.ServiceName
}

type seriesSet struct {
	statementSeconds           *reporter.BucketSample
	replicaReads, primaryReads metrics.Counter
}

// get returns the series of a workspace and service and registers them at the
// first call.
func (c *seriesCache) get(registry *reporter.Registry, workspace identifier.WorkspaceName, service identifier.ServiceName) *seriesSet {
	key := seriesKey{workspace, service}
	c.mu.RLock()
	set := c.byKey[key]
	c.mu.RUnlock()
	if set != nil {
		return set
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey == nil {
		c.byKey = map[seriesKey]*seriesSet{}
	}
	if c.byKey[key] == nil {
		reads := reporter.Series{Name: "reads_total", Workspace: workspace, Service: service}
		replica, primary := reads, reads
		replica.Reason, primary.Reason = "replica", "primary"
		c.byKey[key] = &seriesSet{
			statementSeconds: registry.Histogram(reporter.Series{Name: "statement_seconds", Workspace: workspace, Service: service}),
			replicaReads:     registry.Counter(replica),
			primaryReads:     registry.Counter(primary),
		}
	}
	return c.byKey[key]
}
