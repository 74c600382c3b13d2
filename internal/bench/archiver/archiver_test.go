package archiver

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

type inner struct {
	Count int `json:"count,omitempty"`
}

type record struct {
	Name    string           `json:"name,omitempty"`
	Left    bool             `json:"left,omitempty"`
	Pointer *inner           `json:"pointer,omitempty"`
	List    []inner          `json:"list,omitempty"`
	Map     map[string]inner `json:"map,omitempty"`
	Hidden  int              `json:"-"`
}

// Guards against a sample that lacks a field, whose format could then change unnoticed.
func TestSampleSetsAllEncodedFields(t *testing.T) {
	r := Sample(reflect.TypeFor[record](), "json").(record)
	qt.Assert(t, r.Name, qt.Equals, "name")
	qt.Assert(t, r.Left, qt.IsTrue)
	qt.Assert(t, r.Pointer.Count, qt.Not(qt.Equals), 0)
	qt.Assert(t, r.List, qt.HasLen, 1)
	qt.Assert(t, r.List[0].Count, qt.Not(qt.Equals), 0)
	qt.Assert(t, r.Map, qt.HasLen, 1)
	qt.Assert(t, r.Hidden, qt.Equals, 0)
}
