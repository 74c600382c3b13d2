package player

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oleanderpulley/platform/imitator"
)

// Report is what the callers of a day got.
type Report struct {
	Seed    uint64
	Length  time.Duration
	Routes  []Tally
	Seconds []Tally // Each second of the day.

	ReplicaShare     float64       // Of the reads that ran.
	WriteGap         time.Duration // Longest time without an acknowledged write.
	WorstWorkspace   Tally
	WorstShare       float64 // Of what the worst-served workspace was owed, served in the target.
	WrongfulRefusals int     // For the rate, beyond what the rates refuse.
	Owed             int     // Requests within the rates of their workspaces.
}

// Tally counts requests.
type Tally struct {
	Name                           string
	Asked, InTarget, Late, Refused int
	Failed                         int // Ran and failed, has an unknown outcome, or got no answer.
	Median, P99                    time.Duration

	took []time.Duration // Of those served.
}

func (t *Tally) add(r request, target time.Duration) {
	t.Asked++
	switch {
	case r.code == "" && r.took <= target:
		t.InTarget++
	case r.code == "":
		t.Late++
	case r.code == "BUSY" || r.code == "LAGGING" || r.code == "READONLY" || r.code == "ABORTED":
		t.Refused++
	default:
		t.Failed++
	}
	if r.code == "" {
		t.took = append(t.took, r.took)
	}
}

func (t *Tally) finish() {
	slices.Sort(t.took)
	if n := len(t.took); n > 0 {
		t.Median, t.P99 = t.took[n/2], t.took[n*99/100]
	}
}

func newReport(d Day, seed uint64, h *history, runs []imitator.Run) *Report {
	slices.SortFunc(h.all, func(a, b request) int { return cmp.Compare(a.sent, b.sent) })
	r := &Report{Seed: seed, Length: d.Length.Duration()}
	targets := map[string]time.Duration{}
	byRoute := map[string]*Tally{}
	for _, route := range d.Routes {
		targets[route.Name] = route.Target.Duration()
		byRoute[route.Name] = &Tally{Name: route.Name}
	}
	seconds := make([]Tally, int(d.Length.Duration()/time.Second)+1)
	for _, q := range h.all {
		byRoute[q.route].add(q, targets[q.route])
		seconds[int(q.sent/time.Second)].add(q, targets[q.route])
	}
	for _, route := range d.Routes {
		byRoute[route.Name].finish()
		r.Routes = append(r.Routes, *byRoute[route.Name])
	}
	for i := range seconds {
		seconds[i].Name = fmt.Sprint(i)
		seconds[i].finish()
	}
	r.Seconds = seconds
	r.ReplicaShare = replicaShare(runs)
	r.WriteGap = writeGap(h.all, r.Length)
	r.judgeWorkspaces(d, h.all, targets)
	return r
}

// judgeWorkspaces compares each workspace with one token bucket for all
// instances. Which requests of a flood are served is for the instances to
// decide, so that only numbers are compared: as many as the bucket admits are
// owed, and refusals for the rate beyond those of the bucket are wrongful.
func (r *Report) judgeWorkspaces(d Day, all []request, targets map[string]time.Duration) {
	worst := 2.0
	for _, w := range d.Workspaces {
		t := Tally{Name: w.Name}
		bucket := reference{rate: w.Rate, burst: w.Rate, tokens: w.Rate}
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
		t.finish()
		r.Owed += owed
		r.WrongfulRefusals += max(0, overRate-(t.Asked-owed))
		if part := float64(t.InTarget) / float64(max(1, owed)); part < worst {
			worst = part
			r.WorstWorkspace, r.WorstShare = t, min(1, part)
		}
	}
}

// reference is a token bucket on the clock of the day.
type reference struct {
	rate, burst, tokens float64
	at                  time.Duration
}

func (b *reference) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func replicaShare(runs []imitator.Run) float64 {
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

func writeGap(all []request, length time.Duration) time.Duration {
	var answered []time.Duration
	for _, q := range all {
		if q.write && q.code == "" {
			answered = append(answered, q.sent+q.took)
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

// String returns the report as text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %v\n\n", r.Seed, r.Length)
	fmt.Fprintf(&b, "%-20s %8s %9s %6s %8s %7s %9s %9s\n", "route", "asked", "in_target", "late", "refused", "failed", "p50_ms", "p99_ms")
	for _, t := range r.Routes {
		fmt.Fprintf(&b, "%-20s %8d %9d %6d %8d %7d %9.1f %9.1f\n", t.Name, t.Asked, t.InTarget, t.Late, t.Refused, t.Failed,
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
