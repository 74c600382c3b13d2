package platformclient_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/transport/platformclient"
)

// Guards against one deep value, which the platform accepts by itself, hiding all other objects of its kind.
func TestDeepValueHidesNoOtherObject(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	deep := strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999)
	_, err := c.Put(ctx, "roster", "a", 1, 0)
	qt.Assert(t, err, qt.IsNil)
	version, err := c.Put(ctx, "roster", "odd", json.RawMessage(deep), 0)
	qt.Assert(t, err, qt.IsNil)
	for range 2 { // The second read may be answered from the cache.
		objects, _, err := c.List(ctx, "roster")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, objects, qt.HasLen, 2)
	}
	o, err := c.Get(ctx, "roster", "odd")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Version, qt.Equals, version)
	qt.Assert(t, string(o.Value), qt.Equals, deep)
	changed, _, err := c.Watch(ctx, "roster", 0, time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changed, qt.HasLen, 2)
}

// Guards against one odd entry hiding all other instances, and against a part of a list being taken as the whole list.
func TestOddResponses(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	good := `{"id":"a","address":"127.0.0.1:1","role":"entry","state":"live"}`
	for _, test := range []struct {
		body string
		want int // Instances; -1 for an error.
	}{
		{`[` + good + `,{"id":7},` + deep + `,{"id":"b","address":{"x":` + deep + `}}]`, 1},
		{`[1e400,` + good + `]`, 1},
		{`[` + good + `,{"id":7}`, -1},
		{`{"id":7}`, -1},
		{``, -1},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.body)) }))
		c := &platformclient.Client{BaseURL: server.URL}
		instances, err := c.Instances(context.Background())
		qt.Check(t, err == nil, qt.Equals, test.want >= 0, qt.Commentf("%.100s: %v", test.body, err))
		qt.Check(t, len(instances), qt.Equals, max(0, test.want))
		_, _, err = c.List(context.Background(), "roster")
		qt.Check(t, err != nil || test.body == `{"id":7}`, qt.IsTrue)
		qt.Check(t, c.Close(), qt.IsNil)
		server.Close()
	}
}
