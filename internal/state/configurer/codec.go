package configurer

import (
	"encoding/json"

	"oleanderpulley/internal/state/identifier"
)

// Decode parses a document from JSON, validates it and builds its key index.
// Invalid content is reported as [FieldErrors].
func Decode(data []byte) (*Document, error) {
	if err := checkSchema(data); err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, FieldErrors{{Path: "", Problem: err.Error()}}
	}
	d.replaceNil()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	d.indexKeys()
	return &d, nil
}

// Empty returns version 0, the empty document that precedes the first accepted
// configuration.
func Empty() *Document {
	d := &Document{}
	d.replaceNil()
	d.indexKeys()
	return d
}

// Encode returns the document as JSON with sorted keys, so that equal documents
// have equal encodings.
func (d *Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// replaceNil replaces nil maps and lists by empty ones, because a JSON patch
// cannot add to null.
func (d *Document) replaceNil() {
	d.Services = emptyIfNil(d.Services)
	d.Workspaces = emptyIfNil(d.Workspaces)
	d.Keys = emptyIfNil(d.Keys)
	d.Routes = emptyIfNil(d.Routes)
	for name, s := range d.Services {
		s.BackendServers = emptyIfNil(s.BackendServers)
		d.Services[name] = s
	}
	for name, w := range d.Workspaces {
		if w.Services == nil {
			w.Services = []identifier.ServiceName{}
		}
		d.Workspaces[name] = w
	}
}

func emptyIfNil[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// indexKeys builds the map from the hash of a key to its ID. It must run before
// the document is shared, because a shared document is immutable.
func (d *Document) indexKeys() {
	d.keysByHash = make(map[string]identifier.KeyID, len(d.Keys))
	for id, k := range d.Keys {
		d.keysByHash[k.Hash] = id
	}
}

// keyByHash returns the ID of the key with the given hash. A document that was
// not built by [Decode] or [Empty] may have no index; it is searched linearly.
func (d *Document) keyByHash(hash string) (identifier.KeyID, bool) {
	if d.keysByHash != nil {
		id, ok := d.keysByHash[hash]
		return id, ok
	}
	for id, k := range d.Keys {
		if k.Hash == hash {
			return id, true
		}
	}
	return "", false
}
