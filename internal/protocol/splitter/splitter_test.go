package splitter_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/splitter"
)

// Guards against a document that was cut off being taken as a shorter one.
func TestDocumentsThatAreNotWellDelimitedAreRefused(t *testing.T) {
	whole := `[{"a":[1,{"b":"x\"]"}]},[[],{}],"c",null]`
	_, err := splitter.Elements([]byte(whole))
	qt.Assert(t, err, qt.IsNil)
	for n := range len(whole) {
		_, err := splitter.Elements([]byte(whole[:n]))
		qt.Assert(t, err, qt.ErrorIs, splitter.ErrMalformed, qt.Commentf("the first %d bytes", n))
	}
	for _, text := range []string{
		`[1]]`, `[1}`, `[1,]`, `[,1]`, `[1 2]`, `["a""b"]`, `[{"a"}]`, `[{1:2}]`, `[{"a":}]`, `[{"a":1,}]`, `{}`, `1`,
		`["a,{"b":"c"}]`, // A quotation mark is missing: the following elements would be part of this one.
	} {
		_, err := splitter.Elements([]byte(text))
		qt.Assert(t, err, qt.ErrorIs, splitter.ErrMalformed, qt.Commentf("%s", text))
	}
}

// Guards against a value whose depth ends the process or hides its neighbours.
func TestDepthIsNotLimited(t *testing.T) {
	for _, depth := range []int{1, 63, 64, 65, 10_001, 2_000_000} {
		deep := strings.Repeat(`[`, depth) + strings.Repeat(`]`, depth)
		elements, err := splitter.Elements([]byte(`["a",` + deep + `,"b"]`))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(elements), qt.Equals, 3)
		qt.Assert(t, string(elements[2]), qt.Equals, `"b"`)
	}
	_, err := splitter.Elements(bytes.Repeat([]byte(`[`), 8<<20))
	qt.Assert(t, err, qt.ErrorIs, splitter.ErrMalformed)
	_, err = splitter.Elements([]byte(`[` + strings.Repeat(`{"a":`, 2_000_000)))
	qt.Assert(t, err, qt.ErrorIs, splitter.ErrMalformed)
}

func TestMembers(t *testing.T) {
	members, err := splitter.Members([]byte(` { "a" : 1e999 , "a":[ "}" ], "\u0062":@#!, "\q": {} } `))
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, m := range members {
		got = append(got, m.Name+"="+string(m.Value))
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"a=1e999", `a=[ "}" ]`, "b=@#!", "={}"})
}

// FuzzElements compares the elements of valid documents with those that encoding/json finds.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{
		`[]`, `[1,"a",{"b":[{}]}]`, `[[[[`, `["\"",{"a":"\\"}]`, `[{"meta":{"name":"a"},"spec":{}}, null ]`, `[1,2`, `["a,{"b":"c"}]`,
		`[1e400,-0,99999999999999999999]`, "[\"\xff\xfe\"]", `[{"a":1,"a":2}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, err := splitter.Elements(data)
		_, _ = splitter.Members(data)
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(elements), qt.Equals, len(want))
		for i := range want {
			qt.Assert(t, string(elements[i]), qt.Equals, string(want[i]))
		}
	})
}
