package reporter_test

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/transport/reporter"
)

func ExampleRegistry() {
	var r reporter.Registry
	r.Count(reporter.Series{Name: "refusals_total", Workspace: "puebla", Reason: "over_rate"}, 2)
	r.Observe(reporter.Series{Name: "wait_seconds", Workspace: "puebla"}, 12*time.Microsecond)
	_, _ = r.WriteTo(os.Stdout)
	// Output:
	// # TYPE oleanderpulley_refusals_total counter
	// oleanderpulley_refusals_total{workspace="puebla",reason="over_rate"} 2
	// # TYPE oleanderpulley_wait_seconds histogram
	// oleanderpulley_wait_seconds_bucket{workspace="puebla",le="1.5e-05"} 1
	// oleanderpulley_wait_seconds_bucket{workspace="puebla",le="+Inf"} 1
	// oleanderpulley_wait_seconds_sum{workspace="puebla"} 0.000012
	// oleanderpulley_wait_seconds_count{workspace="puebla"} 1
}

// Guards against percentiles that understate a latency: the reported bound must
// not be below the true value or above 1.5 times it.
func TestPercentileBounds(t *testing.T) {
	for _, d := range []time.Duration{11 * time.Microsecond, time.Millisecond, 733 * time.Millisecond, 40 * time.Second} {
		var s reporter.BucketSample
		s.Update(int64(d))
		got := time.Duration(s.Percentile(0.99))
		qt.Assert(t, got >= d && got <= d*3/2+1, qt.IsTrue, qt.Commentf("%s reported as %s", d, got))
	}
}

// Guards against an instance that is reported as ready although there are reasons
// against it, and against a response that omits the reasons.
func TestReadyzNamesReasons(t *testing.T) {
	reasons := []string{"configuration is not current"}
	r := &reporter.Reporter{Registry: &reporter.Registry{}, Ready: func() []string { return reasons }}
	get := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
		return w
	}
	w := get()
	qt.Assert(t, w.Code, qt.Equals, 503)
	qt.Assert(t, strings.Contains(w.Body.String(), reasons[0]), qt.IsTrue)
	reasons = nil
	qt.Assert(t, get().Code, qt.Equals, 200)
}

func BenchmarkObserve(b *testing.B) {
	var r reporter.Registry
	s := reporter.Series{Name: "wait_seconds", Workspace: "puebla", Service: "rentas-core-1"}
	b.Run("series", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Observe(s, 250*time.Microsecond)
		}
	})
	b.Run("histogram", func(b *testing.B) {
		h := r.Histogram(s)
		b.ReportAllocs()
		for b.Loop() {
			h.Update(int64(250 * time.Microsecond))
		}
	})
}
