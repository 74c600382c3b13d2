package loader

import (
	"encoding"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// EnvironmentPrefix is the prefix of the names of all environment variables that
// are settings.
const EnvironmentPrefix = "OLEANDERPULLEY_"

// Field describes one setting. Flags and documentation are generated from it.
type Field struct {
	Path    string // For example "clients.listen".
	Default string
	Usage   string

	tag   reflect.StructTag
	value reflect.Value
}

// Environment returns the name of the setting's environment variable.
func (f Field) Environment() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Path, ".", "_"))
}

// Fields returns all settings in the order in which [Settings] declares them.
func Fields() []Field {
	return fieldsOf(&Settings{})
}

func fieldsOf(s *Settings) []Field {
	return appendFields(nil, "", reflect.ValueOf(s).Elem())
}

// appendFields appends the settings of the struct v and of its nested structs.
func appendFields(fields []Field, prefix string, v reflect.Value) []Field {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := f.Tag.Get("json")
		if name == "-" {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			fields = appendFields(fields, prefix+name+".", v.Field(i))
			continue
		}
		fields = append(fields, Field{
			Path: prefix + name, Default: f.Tag.Get("default"), Usage: f.Tag.Get("usage"),
			tag: f.Tag, value: v.Field(i),
		})
	}
	return fields
}

// set parses the text, stores the value in the field and validates it.
func (f Field) set(text string) error {
	if err := setFromText(f.value, text); err != nil {
		return err
	}
	if err := f.checkRange(); err != nil {
		return err
	}
	return f.checkFormat(text)
}

// checkRange checks the value against the struct tags min and max.
func (f Field) checkRange() error {
	low, hasRange := f.tag.Lookup("min")
	if !hasRange {
		return nil
	}
	high := f.tag.Get("max")
	lowValue, highValue := reflect.New(f.value.Type()).Elem(), reflect.New(f.value.Type()).Elem()
	if err := errors.Wrap(setFromText(lowValue, low), "lower bound"); err != nil {
		return err
	}
	if err := errors.Wrap(setFromText(highValue, high), "upper bound"); err != nil {
		return err
	}
	if v := toFloat(f.value); !(v >= toFloat(lowValue) && v <= toFloat(highValue)) { //nolint:staticcheck // NaN compares false both ways.
		return errors.Errorf("%v is outside %s to %s", f.value.Interface(), low, high)
	}
	return nil
}

// checkFormat checks the text against the struct tags oneof and check.
func (f Field) checkFormat(text string) error {
	if allowed := f.tag.Get("oneof"); allowed != "" && !slices.Contains(strings.Split(allowed, ","), text) {
		return errors.Errorf("%.40q is not one of %s", text, allowed)
	}
	switch f.tag.Get("check") {
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return errors.Errorf("%.60q is not an IP address with a port", text)
		}
	case "url":
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return errors.New("is not an http or https URL")
		}
		if u.User != nil {
			return errors.New("must not contain a user or password; credentials are read from files")
		}
	}
	return nil
}

// setFromText parses the text according to the type of v and stores the value.
func setFromText(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Errorf("%.40q is not an integer", text)
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errors.Errorf("%.40q is not a number", text)
		}
		v.SetFloat(n)
	default:
		return errors.Errorf("settings of type %s are not supported", v.Type())
	}
	return nil
}

func toFloat(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// isJSONNumber reports whether the value in the file must be a JSON number.
// Durations and sizes are strings with a unit.
func (f Field) isJSONNumber() bool {
	if _, ok := f.value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return false
	}
	return f.value.Kind() != reflect.String
}
