package platformclient

import (
	"encoding/json"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/splitter"
)

// decode decodes a response. A value of an object may be of any form and depth, and an
// instance that cannot be read is left out. Everything else fails the response as a
// whole: an object without its name or version may be one that binds, such as a roster.
func decode(payload []byte, result any) error {
	err := json.Unmarshal(payload, result)
	if err == nil {
		return nil
	}
	switch r := result.(type) {
	case *Object:
		*r, err = splitObject(payload)
	case *listResponse:
		*r, err = splitList(payload)
	case *[]Instance:
		*r, err = splitInstances(payload)
	}
	return err
}

func splitList(payload []byte) (listResponse, error) {
	var list listResponse
	members, err := splitter.Members(payload)
	if err != nil {
		return list, err
	}
	complete := false
	for _, m := range members {
		switch m.Name {
		case "revision":
			err = json.Unmarshal(m.Value, &list.Revision)
		case "objects":
			complete = true
			list.Objects, err = splitObjects(m.Value)
		}
		if err != nil {
			return listResponse{}, errors.Wrapf(err, "decode %s", m.Name)
		}
	}
	if !complete {
		return listResponse{}, errors.Wrap(splitter.ErrMalformed, "list has no objects")
	}
	return list, nil
}

func splitObjects(payload []byte) ([]Object, error) {
	elements, err := splitter.Elements(payload)
	if err != nil {
		return nil, err
	}
	objects := make([]Object, len(elements))
	for i, e := range elements {
		if objects[i], err = splitObject(e); err != nil {
			return nil, errors.Wrapf(err, "object %d of %d", i+1, len(elements))
		}
	}
	return objects, nil
}

// splitObject decodes all fields of an object but its value.
func splitObject(payload []byte) (Object, error) {
	var o Object
	members, err := splitter.Members(payload)
	if err != nil {
		return o, err
	}
	for _, m := range members {
		switch m.Name {
		case "kind":
			err = json.Unmarshal(m.Value, &o.Kind)
		case "name":
			err = json.Unmarshal(m.Value, &o.Name)
		case "version":
			err = json.Unmarshal(m.Value, &o.Version)
		case "deleted":
			err = json.Unmarshal(m.Value, &o.Deleted)
		case "value":
			o.Value = m.Value
		}
		if err != nil {
			return Object{}, errors.Wrapf(err, "decode %s", m.Name)
		}
	}
	return o, nil
}

func splitInstances(payload []byte) ([]Instance, error) {
	elements, err := splitter.Elements(payload)
	if err != nil {
		return nil, err
	}
	instances := make([]Instance, 0, len(elements))
	for _, e := range elements {
		var i Instance
		if json.Unmarshal(e, &i) == nil {
			instances = append(instances, i)
		}
	}
	return instances, nil
}
