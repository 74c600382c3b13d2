package configurer

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Change describes a field that differs between two documents. Before is absent
// if the field was added, After if it was removed.
type Change struct {
	Path   string          `json:"path"` // JSON pointer.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the changes from one document to another, sorted by path.
// The version number is not compared.
func Diff(from, to *Document) ([]Change, error) {
	fromFields, err := toMap(from)
	if err != nil {
		return nil, err
	}
	toFields, err := toMap(to)
	if err != nil {
		return nil, err
	}
	delete(fromFields, "version")
	delete(toFields, "version")
	return appendDifferences(nil, "", fromFields, toFields)
}

// appendDifferences compares two decoded JSON values and appends a [Change] for
// every difference. It descends into values that are objects on both sides.
func appendDifferences(out []Change, path string, from, to any) ([]Change, error) {
	if reflect.DeepEqual(from, to) {
		return out, nil
	}
	fromObject, fromIsObject := from.(map[string]any)
	toObject, toIsObject := to.(map[string]any)
	if !fromIsObject || !toIsObject {
		return appendChange(out, path, from, to)
	}
	keys := make(map[string]any, len(fromObject)+len(toObject))
	maps.Copy(keys, fromObject)
	maps.Copy(keys, toObject)
	var err error
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if out, err = appendDifferences(out, path+"/"+escapePointer(key), fromObject[key], toObject[key]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func appendChange(out []Change, path string, from, to any) ([]Change, error) {
	change := Change{Path: path}
	var err error
	if from != nil {
		if change.Before, err = json.Marshal(from); err != nil {
			return nil, err
		}
	}
	if to != nil {
		if change.After, err = json.Marshal(to); err != nil {
			return nil, err
		}
	}
	return append(out, change), nil
}

// toMap converts a document to decoded JSON, in which numbers keep their text.
func toMap(d *Document) (map[string]any, error) {
	data, err := d.Encode()
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var fields map[string]any
	return fields, dec.Decode(&fields)
}

// CreateMergePatch returns the JSON merge patch (RFC 7396) for which
// from.MergePatch returns to. The document to must be the version after from.
func CreateMergePatch(from, to *Document) ([]byte, error) {
	base := *from
	base.Version = to.Version // MergePatch increments the version itself and rejects a patch that changes it.
	original, err := base.Encode()
	if err != nil {
		return nil, err
	}
	modified, err := to.Encode()
	if err != nil {
		return nil, err
	}
	return jsonpatch.CreateMergePatch(original, modified)
}
