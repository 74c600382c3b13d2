package reporter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"oleanderpulley/internal/state/identifier"
)

// Series identifies a histogram, a counter or a gauge by its name and labels. Empty labels
// are omitted from the output.
type Series struct {
	Name      string // In snake_case, with its unit, such as "wait_seconds".
	Workspace identifier.WorkspaceName
	Service   identifier.ServiceName
	Reason    string // Reason of a refusal, or target of a read.
}

// Registry holds the histograms, counters and gauges of an instance. The zero value is
// ready to use.
type Registry struct {
	mu         sync.Mutex
	registry   metrics.Registry
	histograms sync.Map // Series to *BucketSample.
	counters   sync.Map // Series to metrics.Counter.
	gauges     sync.Map // Series to metrics.Gauge.
}

// Observe records a duration in the histogram of the series. Code on a hot path
// should keep the result of [Registry.Histogram] instead, to avoid the look-up.
func (r *Registry) Observe(s Series, d time.Duration) {
	r.Histogram(s).Update(int64(d))
}

// Histogram returns the histogram of the series. It registers a new one if there
// is none.
func (r *Registry) Histogram(s Series) *BucketSample {
	if h, ok := r.histograms.Load(s); ok {
		return h.(*BucketSample)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h, loaded := r.histograms.LoadOrStore(s, &BucketSample{})
	if !loaded {
		r.register(s, metrics.NewHistogram(h.(*BucketSample)))
	}
	return h.(*BucketSample)
}

// Count adds n to the counter of the series.
func (r *Registry) Count(s Series, n int64) {
	r.Counter(s).Inc(n)
}

// Counter returns the counter of the series. It registers a new one if there is
// none.
func (r *Registry) Counter(s Series) metrics.Counter {
	if c, ok := r.counters.Load(s); ok {
		return c.(metrics.Counter)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c, loaded := r.counters.LoadOrStore(s, metrics.NewCounter())
	if !loaded {
		r.register(s, c)
	}
	return c.(metrics.Counter)
}

// CounterValue returns the value of the counter of the series, 0 if there is
// none.
func (r *Registry) CounterValue(s Series) int64 {
	if c, ok := r.counters.Load(s); ok {
		return c.(metrics.Counter).Count()
	}
	return 0
}

// SetGauge sets the gauge of the series. It registers a new one if there is none.
func (r *Registry) SetGauge(s Series, value int64) {
	g, ok := r.gauges.Load(s)
	if !ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		var loaded bool
		if g, loaded = r.gauges.LoadOrStore(s, metrics.NewGauge()); !loaded {
			r.register(s, g)
		}
	}
	g.(metrics.Gauge).Update(value)
}

// GaugeValue returns the value of the gauge of the series, 0 if there is none.
func (r *Registry) GaugeValue(s Series) int64 {
	if g, ok := r.gauges.Load(s); ok {
		return g.(metrics.Gauge).Value()
	}
	return 0
}

// RemoveWorkspace removes all series of a workspace. It is called for
// workspaces that were removed from the configuration.
func (r *Registry) RemoveWorkspace(workspace identifier.WorkspaceName) {
	removeFrom := func(all *sync.Map) {
		all.Range(func(key, _ any) bool {
			if s := key.(Series); s.Workspace == workspace {
				all.Delete(key)
				r.registry.Unregister(s.String())
			}
			return true
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry != nil {
		removeFrom(&r.histograms)
		removeFrom(&r.counters)
		removeFrom(&r.gauges)
	}
}

// WriteTo writes all series in the text exposition format that common metrics
// collectors read.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	lines := map[string][]string{}
	r.histograms.Range(func(key, value any) bool {
		s := key.(Series)
		lines[s.Name+" histogram"] = append(lines[s.Name+" histogram"], histogramLines(s, value.(*BucketSample)))
		return true
	})
	r.counters.Range(func(key, value any) bool {
		s := key.(Series)
		line := fmt.Sprintf("oleanderpulley_%s%s %d\n", s.Name, s.labels(""), value.(metrics.Counter).Count())
		lines[s.Name+" counter"] = append(lines[s.Name+" counter"], line)
		return true
	})
	r.gauges.Range(func(key, value any) bool {
		s := key.(Series)
		line := fmt.Sprintf("oleanderpulley_%s%s %d\n", s.Name, s.labels(""), value.(metrics.Gauge).Value())
		lines[s.Name+" gauge"] = append(lines[s.Name+" gauge"], line)
		return true
	})
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "# TYPE oleanderpulley_%s\n", name)
		slices.Sort(lines[name])
		b.WriteString(strings.Join(lines[name], ""))
	}
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

// register adds a metric to the go-metrics registry. The caller holds mu.
func (r *Registry) register(s Series, metric any) {
	if r.registry == nil {
		r.registry = metrics.NewRegistry()
	}
	_ = r.registry.Register(s.String(), metric) // Fails only for a registered name, which the callers exclude.
}

// String returns the name followed by the labels in braces.
func (s Series) String() string {
	return s.Name + s.labels("")
}

// labels returns the labels in braces, "" if there are none. The last one is le,
// the upper bound of a histogram bucket, unless it is empty.
func (s Series) labels(le string) string {
	var parts []string
	for _, label := range [][2]string{
		{"workspace", string(s.Workspace)}, {"service", string(s.Service)}, {"reason", s.Reason}, {"le", le},
	} {
		if label[1] != "" {
			parts = append(parts, label[0]+`="`+escapeLabel(label[1])+`"`)
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// labelEscapes are all escapes of the text exposition format. A collector refuses all
// metrics if one has another escape.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escapeLabel returns the value of a label in the text exposition format, which is
// UTF-8: each byte of the value that is not becomes U+FFFD.
func escapeLabel(value string) string {
	return labelEscapes.Replace(string([]rune(value)))
}

// histogramLines returns the lines of a histogram in the text exposition format.
// Buckets with the same cumulative count as the previous one are omitted.
func histogramLines(s Series, h *BucketSample) string {
	var b strings.Builder
	var last int64
	for i, n := range h.Cumulative() {
		if n == last {
			continue
		}
		last = n
		le := fmt.Sprintf("%.6g", bucketUpperBound(i)/float64(time.Second))
		fmt.Fprintf(&b, "oleanderpulley_%s_bucket%s %d\n", s.Name, s.labels(le), n)
	}
	fmt.Fprintf(&b, "oleanderpulley_%s_bucket%s %d\n", s.Name, s.labels("+Inf"), last)
	fmt.Fprintf(&b, "oleanderpulley_%s_sum%s %.6f\n", s.Name, s.labels(""), float64(h.Sum())/float64(time.Second))
	fmt.Fprintf(&b, "oleanderpulley_%s_count%s %d\n", s.Name, s.labels(""), last)
	return b.String()
}
