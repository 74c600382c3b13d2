package player

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oleanderpulley/platform/imitator"
)

// Report has the results of the requests of a day.
type Report struct {
	Seed    uint64
	Length  time.Duration
	Routes  []Tally
	Seconds []Tally // One for each second of the day.

	ReplicaShare     float64       // Share of the successful reads that ran on replicas.
	WriteGap         time.Duration // Longest time without an acknowledged write.
	WorstWorkspace   Tally         // The workspace with the lowest share, see WorstShare.
	WorstShare       float64       // Requests served within the target per owed request, at most 1.
	WrongfulRefusals int           // Refusals for the rate beyond those that the rates require.
	Owed             int           // Requests within the rate of their workspace.
}

// Tally counts requests by result.
type Tally struct {
	Name                              string
	Requests, InTarget, Late, Refused int
	Failed                            int // Ran and failed, had an unknown outcome, or got no answer.
	Median, P99                       time.Duration

	latencies []time.Duration // Of the requests served.
}

func (t *Tally) add(r request, target time.Duration) {
	t.Requests++
	switch {
	case r.code == "" && r.latency <= target:
		t.InTarget++
	case r.code == "":
		t.Late++
	case r.code == "BUSY" || r.code == "LAGGING" || r.code == "READONLY" || r.code == "ABORTED":
		t.Refused++
	default:
		t.Failed++
	}
	if r.code == "" {
		t.latencies = append(t.latencies, r.latency)
	}
}

// computePercentiles sets Median and P99. It is called after the last add.
func (t *Tally) computePercentiles() {
	slices.Sort(t.latencies)
	if n := len(t.latencies); n > 0 {
		t.Median, t.P99 = t.latencies[n/2], t.latencies[n*99/100]
	}
}

func newReport(d Day, seed uint64, h *history, runs []imitator.Execution) *Report {
	slices.SortFunc(h.requests, func(a, b request) int { return cmp.Compare(a.sent, b.sent) })
	r := &Report{Seed: seed, Length: d.Length.Duration()}
	targets := map[string]time.Duration{}
	byRoute := map[string]*Tally{}
	for _, route := range d.Routes {
		targets[route.Name] = route.Target.Duration()
		byRoute[route.Name] = &Tally{Name: route.Name}
	}
	seconds := make([]Tally, int(d.Length.Duration()/time.Second)+1)
	for _, q := range h.requests {
		byRoute[q.route].add(q, targets[q.route])
		seconds[int(q.sent/time.Second)].add(q, targets[q.route])
	}
	for _, route := range d.Routes {
		byRoute[route.Name].computePercentiles()
		r.Routes = append(r.Routes, *byRoute[route.Name])
	}
	for i := range seconds {
		seconds[i].Name = fmt.Sprint(i)
		seconds[i].computePercentiles()
	}
	r.Seconds = seconds
	r.ReplicaShare = replicaShare(runs)
	r.WriteGap = writeGap(h.requests, r.Length)
	r.compareWithRates(d, h.requests, targets)
	return r
}

// compareWithRates compares the results of each workspace with a single token bucket
// in place of all instances. The instances may choose which requests of a flood they
// serve, so only counts are compared: a workspace is owed as many requests as the
// bucket admits, and refusals for the rate beyond those of the bucket are wrongful.
func (r *Report) compareWithRates(d Day, all []request, targets map[string]time.Duration) {
	worst := 2.0
	for _, w := range d.Workspaces {
		t := Tally{Name: w.Name}
		bucket := tokenBucket{rate: w.Rate, burst: w.Rate, tokens: w.Rate}
		owed, overRate := 0, 0
		for _, q := range all {
			if q.workspace != w.Name {
				continue
			}
			t.add(q, targets[q.route])
			if bucket.take(q.sent) {
				owed++
			}
			if q.overRate {
				overRate++
			}
		}
		t.computePercentiles()
		r.Owed += owed
		r.WrongfulRefusals += max(0, overRate-(t.Requests-owed))
		if share := float64(t.InTarget) / float64(max(1, owed)); share < worst {
			worst = share
			r.WorstWorkspace, r.WorstShare = t, min(1, share)
		}
	}
}

// tokenBucket is a token bucket whose clock starts with the day.
type tokenBucket struct {
	rate, burst, tokens float64
	at                  time.Duration // Time of the last update.
}

// take refills the bucket up to the time, takes a token and reports whether there
// was one.
func (b *tokenBucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// replicaShare returns the share of successful reads that ran on replicas.
func replicaShare(runs []imitator.Execution) float64 {
	reads, replica := 0, 0
	for _, run := range runs {
		if run.Code != "" || !strings.HasSuffix(run.Text, "READ item") {
			continue
		}
		reads++
		if !run.OnPrimary {
			replica++
		}
	}
	return float64(replica) / float64(max(1, reads))
}

// writeGap returns the longest time without an acknowledged write. The start and the
// end of the day count as acknowledgements.
func writeGap(all []request, length time.Duration) time.Duration {
	var answered []time.Duration
	for _, q := range all {
		if q.write && q.code == "" {
			answered = append(answered, q.sent+q.latency)
		}
	}
	slices.Sort(answered)
	last, gap := time.Duration(0), time.Duration(0)
	for _, at := range append(answered, length) {
		gap = max(gap, at-last)
		last = max(last, at)
	}
	return gap
}

// String returns the report as a table of the routes and one line per measure.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %v\n\n", r.Seed, r.Length)
	fmt.Fprintf(&b, "%-20s %8s %9s %6s %8s %7s %9s %9s\n", "route", "asked", "in_target", "late", "refused", "failed", "p50_ms", "p99_ms")
	for _, t := range r.Routes {
		fmt.Fprintf(&b, "%-20s %8d %9d %6d %8d %7d %9.1f %9.1f\n", t.Name, t.Requests, t.InTarget, t.Late, t.Refused, t.Failed,
			milliseconds(t.Median), milliseconds(t.P99))
	}
	fmt.Fprintf(&b, "\nreads on replicas: %.1f%%\nlongest time without an acknowledged write: %.2f s\n", 100*r.ReplicaShare, r.WriteGap.Seconds())
	w := r.WorstWorkspace
	fmt.Fprintf(&b, "worst-served workspace: %s, %.1f%% of what it was owed in the target, p99 %.1f ms\n", w.Name, 100*r.WorstShare, milliseconds(w.P99))
	fmt.Fprintf(&b, "wrongful refusals: %d of %d (%.2f%%)\n", r.WrongfulRefusals, r.Owed,
		100*float64(r.WrongfulRefusals)/float64(max(1, r.Owed)))
	return b.String()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
