package platformclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/platformserver"
	"oleanderpulley/internal/transport/platformclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start starts a fake platform on a loopback address and a client for it.
func start(t *testing.T) (*platformserver.Server, *platformclient.Client) {
	s := &platformserver.Server{}
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { allocator.Release(address) })
	_, err = s.Start(address)
	qt.Assert(t, err, qt.IsNil)
	c := &platformclient.Client{BaseURL: "http://" + address, InstanceID: "i-1"}
	t.Cleanup(func() {
		qt.Check(t, c.Close(), qt.IsNil)
		qt.Check(t, s.Close(), qt.IsNil)
	})
	return s, c
}

// Guards against two conditional updates of the same version that both succeed.
func TestConditionalUpdates(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	_, err := c.Get(ctx, "group", "a")
	qt.Assert(t, errors.Is(err, platformclient.ErrNotFound), qt.IsTrue)
	v1, err := c.Put(ctx, "group", "a", map[string]int{"term": 1}, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Put(ctx, "group", "a", map[string]int{"term": 9}, 0)
	qt.Assert(t, errors.Is(err, platformclient.ErrConflict), qt.IsTrue)
	v2, err := c.Put(ctx, "group", "a", map[string]int{"term": 2}, v1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v2 > v1, qt.IsTrue)
	err = c.Delete(ctx, "group", "a", v1)
	qt.Assert(t, errors.Is(err, platformclient.ErrConflict), qt.IsTrue)
	o, err := c.Get(ctx, "group", "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o, qt.DeepEquals, platformclient.Object{Kind: "group", Name: "a", Version: v2, Value: json.RawMessage(`{"term":2}`)})
	qt.Assert(t, c.Delete(ctx, "group", "a", v2), qt.IsNil)
	_, err = c.Put(ctx, "group", "a", 3, v2)
	qt.Assert(t, errors.Is(err, platformclient.ErrConflict), qt.IsTrue)
	_, err = c.Put(ctx, "group", "a", 3, 0)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a watch that misses a change or returns for other kinds of
// objects.
func TestWatch(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	_, revision, err := c.List(ctx, "config")
	qt.Assert(t, err, qt.IsNil)
	type result struct {
		objects  []platformclient.Object
		revision uint64
		err      error
	}
	results := make(chan result, 1)
	go func() {
		o, r, err := c.Watch(ctx, "config", revision, 5*time.Second)
		results <- result{o, r, err}
	}()
	_, err = c.Put(ctx, "other", "x", 1, 0)
	qt.Assert(t, err, qt.IsNil)
	v, err := c.Put(ctx, "config", "head", 2, 0)
	qt.Assert(t, err, qt.IsNil)
	r := <-results
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.objects, qt.HasLen, 1)
	qt.Assert(t, r.objects[0].Version, qt.Equals, v)
	qt.Assert(t, c.Delete(ctx, "config", "head", v), qt.IsNil)
	o, _, err := c.Watch(ctx, "config", r.revision, 5*time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o, qt.HasLen, 1)
	qt.Assert(t, o[0].Deleted, qt.IsTrue)
	o, _, err = c.Watch(ctx, "config", o[0].Version, time.Millisecond)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o, qt.HasLen, 0)
}

// Guards against reporting a failed write as not applied when it may have been,
// and against calls that block beyond their deadline during an outage.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  platformserver.Faults
		write   error
		read    error
		applied bool
	}{
		{"refuse", platformserver.Faults{Down: platformserver.DownRefuse}, platformclient.ErrUnavailable, platformclient.ErrUnavailable, false},
		{"unavailable", platformserver.Faults{Down: platformserver.DownUnavailable}, platformclient.ErrUnavailable, platformclient.ErrUnavailable, false},
		{"lose answer", platformserver.Faults{LoseAnswer: true}, platformclient.ErrOutcomeUnknown, nil, true},
		{"silent", platformserver.Faults{Silent: true}, platformclient.ErrOutcomeUnknown, platformclient.ErrUnavailable, false},
		{"slow", platformserver.Faults{SlowMS: 60_000}, platformclient.ErrOutcomeUnknown, platformclient.ErrUnavailable, false},
		{"cut instance", platformserver.Faults{CutInstances: []string{"i-1"}}, platformclient.ErrOutcomeUnknown, platformclient.ErrUnavailable, false},
		{"cut data centre", platformserver.Faults{CutDataCentres: []string{"centro-a"}}, platformclient.ErrOutcomeUnknown, platformclient.ErrUnavailable, false},
		{"cut others", platformserver.Faults{CutInstances: []string{"i-2"}, CutDataCentres: []string{"centro-b"}}, nil, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := start(t)
			// With keep-alive, the write may be sent on a connection that the server
			// has closed, which makes its outcome unknown.
			c.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			s.SetInstances(platformserver.Instance{ID: "i-1", DataCentre: "centro-a"})
			ctx := context.Background()
			v, err := c.Put(ctx, "k", "n", 1, 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.SetFaults(tc.faults), qt.IsNil)
			if tc.faults.Down == "" && !tc.applied {
				c.Timeout = 50 * time.Millisecond // Calls that must succeed keep the default.
			}
			_, err = c.Put(ctx, "k", "n", 2, v)
			qt.Check(t, errors.Is(err, tc.write), qt.IsTrue, qt.Commentf("write: %v", err))
			_, err = c.Get(ctx, "k", "n")
			qt.Check(t, errors.Is(err, tc.read), qt.IsTrue, qt.Commentf("read: %v", err))
			_, err = c.Instances(ctx)
			qt.Check(t, errors.Is(err, tc.read), qt.IsTrue, qt.Commentf("list: %v", err))
			qt.Assert(t, s.SetFaults(platformserver.Faults{}), qt.IsNil)
			c.Timeout = 0
			o, err := c.Get(ctx, "k", "n")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, o.Version != v, qt.Equals, tc.applied)
		})
	}
}

// Guards against a fake platform that answers a watch after the network was cut
// off and restored while it waited, which a real connection would not do.
func TestCutDuringWatch(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	failed := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, "k", 0, 300*time.Millisecond)
		failed <- err
	}()
	for s.Counters().Watch == 0 {
		_, err := c.Get(ctx, "k", "none")
		qt.Assert(t, errors.Is(err, platformclient.ErrNotFound), qt.IsTrue)
	}
	qt.Assert(t, s.SetFaults(platformserver.Faults{CutInstances: []string{"i-1"}}), qt.IsNil)
	err := <-failed
	qt.Assert(t, errors.Is(err, platformclient.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a fake platform that does not count some kinds of calls, accepts
// values over the size limit, or returns an instance list that does not lag.
func TestCountersLimitsAndLag(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	_, err := c.Put(ctx, "k", "n", strings.Repeat("x", platformserver.MaxValue), 0)
	qt.Assert(t, errors.Is(err, platformclient.ErrRefused), qt.IsTrue)
	_, _, err = c.List(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(ctx, "k", "n")
	qt.Assert(t, errors.Is(err, platformclient.ErrNotFound), qt.IsTrue)
	_, _, err = c.Watch(ctx, "k", 0, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Counters(), qt.Equals, platformserver.Counters{Read: 1, Write: 1, Watch: 1, List: 1})

	s.SetInstances(platformserver.Instance{ID: "i-1"})
	s.ListLag = time.Hour
	s.SetInstances()
	list, err := c.Instances(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.HasLen, 1)
}

// Guards against control endpoints of the fake platform that behave differently
// from its Go methods.
func TestControlEndpoint(t *testing.T) {
	s, c := start(t)
	post := func(path, body string) int {
		w, err := http.Post(c.BaseURL+path, "application/json", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, w.Body.Close(), qt.IsNil)
		http.DefaultClient.CloseIdleConnections()
		return w.StatusCode
	}
	qt.Assert(t, post("/control/instances", `[{"id":"i-1","state":"live"}]`), qt.Equals, 200)
	list, err := c.Instances(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.DeepEquals, []platformclient.Instance{{ID: "i-1", State: "live"}})
	qt.Assert(t, post("/control/faults", `{"down":"sideways"}`), qt.Equals, 400)
	qt.Assert(t, post("/control/faults", `{"down":"unavailable"}`), qt.Equals, 200)
	_, err = c.Instances(context.Background())
	qt.Assert(t, errors.Is(err, platformclient.ErrUnavailable), qt.IsTrue)
	qt.Assert(t, s.SetFaults(platformserver.Faults{}), qt.IsNil)
}

// Guards against a fake platform that drops a write when its caller cancels the
// call: at the real platform, such a write may still take effect later.
func TestLateWrite(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	qt.Assert(t, s.SetFaults(platformserver.Faults{SlowMS: 1000}), qt.IsNil)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for s.Counters().Write == 0 {
			<-tick.C
		}
		cancel()
	}()
	_, err := c.Put(ctx, "k", "n", 1, 0)
	qt.Assert(t, errors.Is(err, platformclient.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, s.SetFaults(platformserver.Faults{}), qt.IsNil)
	objects, _, err := c.Watch(context.Background(), "k", 0, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, objects, qt.HasLen, 1)
}

// Guards against a read that returns outdated data after a change, and against
// transferring a list in full on each read although it has not changed.
func TestUnchangedReadsAreShort(t *testing.T) {
	var fullResponses atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses.Add(1)
		_, _ = w.Write([]byte(`[{"id":"centro-a-1"}]`))
	}))
	t.Cleanup(server.Close)
	c := &platformclient.Client{BaseURL: server.URL}
	for range 3 {
		list, err := c.Instances(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, list, qt.HasLen, 1)
	}
	qt.Assert(t, fullResponses.Load(), qt.Equals, int64(1))
}
