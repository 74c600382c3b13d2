package starter_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against one odd entry in any list hiding all others from an instance that runs or starts.
func TestOddEntriesHideNoOtherFromAnInstance(t *testing.T) {
	p := newTestPlatform(t)
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	deep := nested(12_000) // Beyond the limit of encoding/json. The race detector takes seconds to scan several much deeper values.
	putOdd := func() {
		p.store.PutRaw("servers", "odd", json.RawMessage(nested(200_000)))
		for _, kind := range []string{"instances", "config", "evacuations", "leases"} {
			p.store.PutRaw(kind, "odd", json.RawMessage(deep))
		}
		p.store.PutBytes("servers", "bytes", []byte(`{"meta":`+deep+`,"spec":"`+"\x01\xff"+`"}`))
	}
	one := p.startInstance("one")
	putOdd()
	p.store.Put("instances", "one", map[string]any{"id": deep[:9]})
	two := p.startInstance("two")
	p.writeConfiguration()
	for _, i := range []*testInstance{one, two} {
		waitUntil(t, "the lists are followed", func() bool { return i.ConfigVersion() == uint64(p.version) })
		c := dialLine(t, i.address)
		c.send("STARTUP booking key-1")
		waitUntil(t, "a write is served", func() bool { return strings.HasPrefix(c.send("QUERY w" + i.address + " WRITE x 1")[0], "COMPLETE") })
	}
	waitUntil(t, "the entry is logged", func() bool {
		return strings.Contains(one.logs.String(), `"event":"invalid_entry","kind":"servers","name":"odd","reason":"invalid character '[' exceeded max depth"`)
	})
	waitUntil(t, "its own registration is repaired", func() bool {
		for _, o := range p.store.Objects("instances") {
			if o.Meta.Name == "one" && strings.Contains(string(o.Spec), "127.0.0.1") {
				return true
			}
		}
		return false
	})
	for _, kind := range []string{"servers", "instances", "config", "evacuations", "leases"} {
		p.store.Remove(kind, "odd")
	}
	waitUntil(t, "its end is logged", func() bool {
		return strings.Contains(one.logs.String()+two.logs.String(), `"event":"invalid_entry_gone","kind":"servers","name":"odd"`)
	})
	qt.Assert(t, strings.Count(one.logs.String(), `"event":"invalid_entry","kind":"servers","name":"odd"`), qt.Equals, 1)
}
