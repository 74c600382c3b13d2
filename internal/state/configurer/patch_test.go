package configurer_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

const baseDocument = `{"version":3,
"services":{"rentas-core":{"backend_servers":{"b1":{"address":"127.0.0.1:5432","data_centre":"centro-a","slots":3,"connections":50}}}},
"workspaces":{"puebla":{"services":["rentas-core"],"rate":100,"burst":20,"weight":1}},
"keys":{"shop":{"workspace":"puebla","hash":"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"}},
"routes":{"catalogue":{"service":"rentas-core","open":true,"workspace":"puebla","max_age":"2s","not_repeatable":false,"durable":false}}}`

func mustDecode(t testing.TB, text string) *configurer.Document {
	d, err := configurer.Decode([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	return d
}

// Guards against hostile patches that crash the process, modify the document
// they are applied to, or produce an invalid document.
func FuzzPatch(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `[]`, `{"workspaces":{"puebla":null}}`, `{"keys":{"shop":{"hash":null}}}`, `{"version":9}`, `{"":{}}`,
		`[{"op":"add","path":"/workspaces/puebla/services/-","value":"x"}]`, `[{"op":"remove","path":"/routes/catalogue"}]`,
		`[{"op":"copy","from":"","path":"/services/a"}]`, `[{"op":"move","from":"/services","path":"/services/a"}]`,
		`[{"op":"test","path":"/a~1b","value":{}}]`, `[{"op":"replace","path":"/workspaces/puebla/services/-1","value":"x"}]`,
		`[{"op":"remove","path":"/workspaces/puebla/services/-1"}]`, `[null]`, `[{"op":"add"}]`, `[{"op":"add","path":"","value":null}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, patch []byte) {
		d := mustDecode(t, baseDocument)
		before, err := d.Encode()
		qt.Assert(t, err, qt.IsNil)
		for _, apply := range []func([]byte) (*configurer.Document, error){d.MergePatch, d.Patch} {
			next, err := apply(patch)
			after, encodeErr := d.Encode()
			qt.Assert(t, encodeErr, qt.IsNil)
			qt.Assert(t, bytes.Equal(before, after), qt.IsTrue, qt.Commentf("the document that the patch was applied to changed"))
			if err != nil {
				continue
			}
			qt.Assert(t, next.Version, qt.Equals, d.Version+1)
			data, err := next.Encode()
			qt.Assert(t, err, qt.IsNil)
			decoded, err := configurer.Decode(data)
			qt.Assert(t, err, qt.IsNil)
			changes, err := configurer.Diff(next, decoded)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, changes, qt.HasLen, 0)
		}
	})
}

// Guards against a stored or received document that crashes the process.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(baseDocument))
	f.Add([]byte(`{"version":-1,"keys":{"":{}},"routes":{"r":{"max_age":"1e9h"}}}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = configurer.Decode(data) })
}

// Guards against patches within the size limit that take excessive CPU time.
func TestHostilePatchesAreBounded(t *testing.T) {
	var keys strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&keys, `,"k%d":{"workspace":"puebla","hash":"%064x"}`, i, i)
	}
	large := mustDecode(t, strings.Replace(baseDocument, `"keys":{`, `"keys":{"first":{"workspace":"puebla","hash":"`+strings.Repeat("f", 64)+`"}`+keys.String()+",", 1))
	for name, patch := range map[string]string{
		"many tests":   "[" + strings.Repeat(`{"op":"test","path":"","value":{}},`, 20_000) + `{"op":"test","path":"","value":{}}]`,
		"doubling":     "[" + strings.Repeat(`{"op":"copy","from":"/keys","path":"/keys/x"},`, 60) + `{"op":"remove","path":"/keys/x"}]`,
		"deep":         strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 40),
		"many removed": "[" + strings.Repeat(`{"op":"remove","path":"/keys/k1"},`, 5000) + `{"op":"remove","path":"/keys/k1"}]`,
		"large":        `{"keys":{"x":"` + strings.Repeat("x", configurer.MaxPatchBytes) + `"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := large.Patch([]byte(patch))
			qt.Assert(t, err, qt.IsNotNil)
			_, err = large.MergePatch([]byte(patch))
			qt.Assert(t, err, qt.IsNotNil)
			// The time limit allows for the race detector and a loaded host.
			qt.Assert(t, time.Since(start) < 10*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
	next, err := large.MergePatch([]byte(`{"keys":{"k1":null}}`))
	qt.Assert(t, err, qt.IsNil)
	changes, err := configurer.Diff(large, next)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].Path, qt.Equals, "/keys/k1")
	qt.Assert(t, changes[0].After, qt.IsNil)
}

// Guards against a joint view that permits what one of its versions does not.
func TestJointView(t *testing.T) {
	accepted := mustDecode(t, baseDocument)
	propose := func(patch string) configurer.View {
		next, err := accepted.MergePatch([]byte(patch))
		qt.Assert(t, err, qt.IsNil)
		return configurer.View{Accepted: accepted, Proposed: next}
	}
	_, err := configurer.View{Accepted: accepted}.Authenticate("puebla", "password")
	qt.Assert(t, err, qt.IsNil)
	_, err = configurer.View{Accepted: accepted}.Authenticate("merida", "password")
	qt.Assert(t, errors.Is(err, configurer.ErrInvalidKey), qt.IsTrue)
	for name, patch := range map[string]string{
		"withdrawn":     `{"keys":{"shop":null}}`,
		"another key":   `{"keys":{"shop":{"hash":"` + strings.Repeat("0", 64) + `"}}}`,
		"other owner":   `{"keys":{"shop":{"workspace":"merida"}},"workspaces":{"merida":{"rate":1,"burst":1}}}`,
		"no workspace":  `{"keys":{"shop":null},"workspaces":{"puebla":null},"routes":{"catalogue":null}}`,
		"renamed entry": `{"keys":{"shop":null,"shop2":{"workspace":"puebla","hash":"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := propose(patch).Authenticate("puebla", "password")
			qt.Assert(t, errors.Is(err, configurer.ErrInvalidKey), qt.IsTrue)
		})
	}
	rate, burst := propose(`{"workspaces":{"puebla":{"rate":50,"burst":40}}}`).Limit("puebla")
	qt.Assert(t, []float64{rate, burst}, qt.DeepEquals, []float64{50, 20})
	rate, _ = propose(`{"workspaces":{"new":{"rate":50,"burst":40}}}`).Limit("new")
	qt.Assert(t, rate, qt.Equals, 0.0)
	r, ok := propose(`{"routes":{"catalogue":{"open":false,"max_age":"1s","durable":true}}}`).Route("catalogue")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Open, qt.IsFalse)
	qt.Assert(t, time.Duration(r.MaxAge), qt.Equals, time.Second)
	qt.Assert(t, r.Durable, qt.IsTrue)
	qt.Assert(t, propose(`{"workspaces":{"puebla":{"services":[]}},"routes":{"catalogue":null}}`).Allowed("puebla", "rentas-core"), qt.IsFalse)
}

// Guards against parts that exceed the platform's size limit, and against a large
// document that differs after it was split and joined.
func TestSplitAndJoin(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 200_000)
	parts := configurer.Split(data, configurer.MaxPartBytes)
	qt.Assert(t, parts, qt.HasLen, 3)
	joined, err := configurer.Join(len(parts), func(n int) ([]byte, error) { return parts[n], nil })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(joined, data), qt.IsTrue)
	_, err = configurer.Join(1_000_000, nil)
	qt.Assert(t, err, qt.IsNotNil)
}

func BenchmarkAuthenticate(b *testing.B) {
	d := mustDecode(b, baseDocument)
	for i := range 10_000 {
		id := identifier.KeyID(fmt.Sprintf("k%d", i))
		d.Keys[id] = configurer.Key{Workspace: "puebla", Hash: fmt.Sprintf("%064x", i)}
	}
	data, err := d.Encode()
	qt.Assert(b, err, qt.IsNil)
	v := configurer.View{Accepted: mustDecode(b, string(data))}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.Authenticate("puebla", "password"); err != nil {
			b.Fatal(err)
		}
	}
}
