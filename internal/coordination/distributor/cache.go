package distributor

import (
	"sync"

	"oleanderpulley/internal/state/configurer"
)

// maxCachedRecords covers the accepted version, its predecessor and the
// proposal, with one to spare for a proposal that replaces a withdrawn one.
const maxCachedRecords = 4

// recordCache holds the latest records by name, each with its document once
// that has been decoded. The zero value is ready to use.
type recordCache struct {
	mu      sync.Mutex
	names   []string
	records map[string]cachedRecord
}

type cachedRecord struct {
	data     []byte
	document *configurer.Document
}

// Get returns the encoded record.
func (c *recordCache) Get(name string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[name]
	return r.data, ok
}

// Document returns the document of a record if it has been decoded.
func (c *recordCache) Document(name string) (*configurer.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	doc := c.records[name].document
	return doc, doc != nil
}

// Add stores a record and evicts the oldest one beyond maxCachedRecords. The
// document may be nil.
func (c *recordCache) Add(name string, data []byte, document *configurer.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[string]cachedRecord{}
	}
	if _, ok := c.records[name]; !ok {
		c.names = append(c.names, name)
	}
	c.records[name] = cachedRecord{data, document}
	if len(c.names) > maxCachedRecords {
		delete(c.records, c.names[0])
		c.names = c.names[1:]
	}
}
