package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// checkSchema compares JSON with the Go types of the document and returns
// [FieldErrors] with the path of each unknown field and each value of a wrong
// type. The errors of encoding/json do not contain the map keys of the path.
func checkSchema(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return FieldErrors{{Path: "", Problem: "is not JSON: " + err.Error()}}
	}
	if dec.More() {
		return FieldErrors{{Path: "", Problem: "has text after the JSON value"}}
	}
	c := &checker{}
	c.checkType("", v, reflect.TypeFor[Document]())
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// checkType checks the decoded JSON value v at path against the Go type t.
func (c *checker) checkType(path string, v any, t reflect.Type) {
	if t == reflect.TypeFor[Duration]() {
		text, ok := v.(string)
		if _, err := time.ParseDuration(text); !ok || err != nil {
			c.addError(path, "is not a duration with a unit, such as \"2s\"")
		}
		return
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		c.checkMembers(path, v, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok && v != nil {
			c.addError(path, "is not a list")
		}
		for i, e := range list {
			c.checkType(fmt.Sprintf("%s/%d", path, i), e, t.Elem())
		}
	default:
		c.checkScalar(path, v, t)
	}
}

func (c *checker) checkMembers(path string, v any, t reflect.Type) {
	object, ok := v.(map[string]any)
	if !ok {
		if v != nil || t.Kind() == reflect.Struct {
			c.addError(path, "is not an object")
		}
		return
	}
	for _, k := range slices.Sorted(maps.Keys(object)) {
		p := path + "/" + escapePointer(k)
		if t.Kind() == reflect.Map {
			c.checkType(p, object[k], t.Elem())
			continue
		}
		if f, ok := fieldTypeByJSONName(t, k); ok {
			c.checkType(p, object[k], f)
		} else {
			c.addError(p, "is not a known field")
		}
	}
}

func (c *checker) checkScalar(path string, v any, t reflect.Type) {
	ok := false
	switch n := v.(type) {
	case string:
		ok = t.Kind() == reflect.String
	case bool:
		ok = t.Kind() == reflect.Bool
	case json.Number:
		var err error
		switch t.Kind() {
		case reflect.Int:
			_, err = strconv.Atoi(n.String())
		case reflect.Uint64:
			_, err = strconv.ParseUint(n.String(), 10, 64)
		case reflect.Float64:
			_, err = n.Float64()
		default:
			err = strconv.ErrSyntax
		}
		ok = err == nil
	}
	if !ok {
		c.addError(path, "is not a %s", kindName(t.Kind()))
	}
}

// fieldTypeByJSONName returns the type of the struct field with the given JSON
// name.
func fieldTypeByJSONName(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// kindName names the kind in error messages.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "truth value"
	case reflect.Int, reflect.Uint64:
		return "whole number"
	default:
		return "number"
	}
}
