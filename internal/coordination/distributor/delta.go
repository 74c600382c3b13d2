package distributor

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// errNoDelta reports that a peer answers but a record cannot be built from its
// delta.
var errNoDelta = errors.New("no usable delta for the record")

// deltaCache holds the latest delta, which all members of a data centre request
// from a relay at the same time. The zero value is ready to use.
type deltaCache struct {
	mu                   sync.Mutex
	recordName, baseName string
	answer               ConfigState
}

func (c *deltaCache) getOrCompute(recordName, baseName string, compute func() ConfigState) ConfigState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recordName != recordName || c.baseName != baseName {
		c.recordName, c.baseName, c.answer = recordName, baseName, compute()
	}
	return c.answer
}

// computeDelta returns the record without its document and the delta from an
// older record. The result is empty when the older record is not the
// predecessor or the delta cannot be computed or sent.
func (d *Distributor) computeDelta(data []byte, baseName string) ConfigState {
	var r Record
	if json.Unmarshal(data, &r) != nil || r.Previous.Name != baseName {
		return ConfigState{}
	}
	base, ok := d.acceptedDocument(baseName)
	if !ok {
		return ConfigState{}
	}
	doc, err := configurer.Decode(r.Document)
	if err != nil {
		return ConfigState{}
	}
	delta, err := configurer.CreateMergePatch(base, doc)
	if err != nil || len(delta) > configurer.MaxPartBytes {
		return ConfigState{}
	}
	r.Document = nil
	metadata, err := json.Marshal(r)
	if err != nil {
		return ConfigState{}
	}
	return ConfigState{Record: metadata, Delta: delta}
}

// acceptedDocument returns the held accepted document if its record has the
// given name.
func (d *Distributor) acceptedDocument(name string) (*configurer.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.held
	return h.accepted, h.accepted != nil && h.head.Accepted.Name == name && name != ""
}

// fetchRecordByDelta builds a record from the held accepted version and a delta
// from a peer, and verifies the result with the digest of the record.
func (d *Distributor) fetchRecordByDelta(ctx context.Context, ref RecordRef, from identifier.InstanceID) ([]byte, error) {
	d.mu.Lock()
	baseName, base := d.held.head.Accepted.Name, d.held.accepted
	d.mu.Unlock()
	if baseName == "" {
		return nil, errNoDelta
	}
	answer, err := d.sendRequest(ctx, from, ConfigState{RecordName: ref.Name, BaseName: baseName}, recordTimeout)
	if err != nil {
		return nil, err
	}
	s, ok := answer.(ConfigState)
	if !ok || len(s.Delta) == 0 {
		return nil, errNoDelta
	}
	var r Record
	if err := json.Unmarshal(s.Record, &r); err != nil {
		return nil, errors.Wrapf(err, "record %s", ref.Name)
	}
	doc, err := base.MergePatch(s.Delta)
	if err != nil {
		return nil, errNoDelta
	}
	if r.Document, err = doc.Encode(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if ref.verifyDigest(data) != nil {
		return nil, errNoDelta
	}
	return data, nil
}
