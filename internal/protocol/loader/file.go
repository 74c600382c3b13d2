package loader

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// parseFile sets the fields from the content of a file of JSON with comments.
func parseFile(name string, data []byte, fields []Field) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return errors.Wrapf(ErrSettings, "%s: %v", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	r := &fileReader{name: name, data: data, fields: fields}
	return r.object("", root)
}

// fileReader sets the fields from a parsed settings file.
type fileReader struct {
	name   string
	data   []byte
	fields []Field
}

// object reads the members of an object. The prefix is the path of the object
// with a trailing dot, or empty for the whole file.
func (r *fileReader) object(prefix string, v hujson.Value) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.errorAt(v, "%q is not an object", strings.TrimSuffix(prefix, "."))
	}
	seen := make(map[string]bool, len(object.Members))
	for _, m := range object.Members {
		literal, ok := m.Name.Value.(hujson.Literal)
		if !ok {
			return r.errorAt(m.Name, "the name is not a string")
		}
		path := prefix + literal.String()
		if seen[path] {
			return r.errorAt(m.Name, "%q occurs twice", path)
		}
		seen[path] = true
		if err := r.member(path, m); err != nil {
			return err
		}
	}
	return nil
}

// member reads the setting at path, or the object that contains the settings
// below path.
func (r *fileReader) member(path string, m hujson.ObjectMember) error {
	for _, f := range r.fields {
		if f.Path == path {
			return r.scalar(f, m.Value)
		}
	}
	containsSettings := slices.ContainsFunc(r.fields, func(f Field) bool { return strings.HasPrefix(f.Path, path+".") })
	if !containsSettings {
		return r.errorAt(m.Name, "%q is not a known setting", path)
	}
	return r.object(path+".", m.Value)
}

// scalar sets one field from a JSON literal.
func (r *fileReader) scalar(f Field, v hujson.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return r.errorAt(v, "%s: is an object or array instead of a single value", f.Path)
	}
	var value any
	dec := json.NewDecoder(bytes.NewReader(literal))
	dec.UseNumber()
	if err := dec.Decode(&value); err != nil {
		return r.errorAt(v, "%s: %v", f.Path, err)
	}
	text, ok := value.(string)
	if !f.isJSONNumber() && !ok {
		return r.errorAt(v, "%s: is not a string in quotation marks", f.Path)
	}
	if f.isJSONNumber() {
		n, ok := value.(json.Number)
		if !ok {
			return r.errorAt(v, "%s: is not a number", f.Path)
		}
		text = n.String()
	}
	if err := f.set(text); err != nil {
		return r.errorAt(v, "%s: %v", f.Path, err)
	}
	return nil
}

// errorAt returns an [ErrSettings] whose message starts with the file, line and
// column of the value.
func (r *fileReader) errorAt(v hujson.Value, format string, args ...any) error {
	before := r.data[:v.StartOffset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return errors.Wrapf(ErrSettings, "%s:%d:%d: "+format, append([]any{r.name, line, column}, args...)...)
}
