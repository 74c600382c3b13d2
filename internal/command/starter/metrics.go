package starter

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/reporter"
)

// callCounts counts the calls of the store by the kind of object. The zero value
// is ready to use. It is safe for concurrent use.
type callCounts struct {
	mu     sync.Mutex
	byKind map[string]int
}

func (c *callCounts) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = map[string]int{}
	}
	c.byKind[kind]++
}

// String lists the counts as "kind:count", separated by commas.
func (c *callCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(c.byKind)) {
		parts = append(parts, kind+":"+strconv.Itoa(c.byKind[kind]))
	}
	return strings.Join(parts, ",")
}

// recordStoreCall records the duration and the failure of a store call by the
// kind of object.
func (s *Starter) recordStoreCall(kind string, err error, took time.Duration) {
	s.storeCalls.add(kind)
	s.registry.Observe(reporter.Series{Name: "store_call_seconds", Reason: kind}, took)
	if err != nil {
		s.registry.Count(reporter.Series{Name: "store_calls_failed", Reason: kind}, 1)
	}
}

// recordProofAge records the time since the store last confirmed the
// configuration.
func (s *Starter) recordProofAge() {
	if age, ok := s.holder.Age(); ok {
		s.registry.Observe(reporter.Series{Name: "proof_age_seconds"}, age)
	}
}

// dropRemovedWorkspaces drops the metric series of workspaces that the
// configuration no longer has, so that the number of series stays bounded.
func (s *Starter) dropRemovedWorkspaces(c *cataloger.Catalog) {
	for name := range s.workspaces {
		if _, ok := c.Configuration.Workspaces[name]; !ok {
			s.registry.RemoveWorkspace(name)
		}
	}
	s.workspaces = c.Configuration.Workspaces
}
