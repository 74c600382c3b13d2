package measurer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// readCounts counts reads by the role of the server that ran them, and those
// that were routed to the primary by cause.
type readCounts struct {
	replica, primary                int64
	positionUnknown, replicasBehind int64
}

func (p *policySwitch) readCounts() readCounts {
	return readCounts{p.replicaReads.Load(), p.primaryReads.Load(), p.positionUnknown.Load(), p.replicasBehind.Load()}
}

func (r readCounts) minus(o readCounts) readCounts {
	return readCounts{r.replica - o.replica, r.primary - o.primary, r.positionUnknown - o.positionUnknown, r.replicasBehind - o.replicasBehind}
}

// primaryCauses describes why reads that may run on a replica went to the
// primary.
func (r readCounts) primaryCauses() string {
	return fmt.Sprintf("primary reads: %d position unknown, %d replicas behind", r.positionUnknown, r.replicasBehind)
}

// result is the table row of one phase.
type result struct {
	scenario   string
	baseline   Baseline
	reads      readCounts
	violations int

	offered             int // This and the fields below cover only workspaces within their rates.
	wrongfulRefusals    int
	worstGoodput        float64
	worstWorkspace      identifier.WorkspaceName
	medianGoodput       float64
	worstP99            float64 // Relative to the scenario calm.
	medianP99           float64
	failures            map[string]int
	lastWrongfulRefusal time.Time
	note                string
}

// newResult evaluates the workspaces that stayed within their rates. Latencies
// are relative to those in calm.
func newResult(byWorkspace, calm map[identifier.WorkspaceName]*workspaceResult) result {
	r := result{worstGoodput: 1, failures: map[string]int{}}
	var goodputs, latencies []float64
	for _, w := range sortedKeys(byWorkspace) {
		s := byWorkspace[w]
		if !s.WithinRate {
			continue
		}
		r.offered += s.Offered
		r.wrongfulRefusals += s.Refused
		if s.LastRefused.After(r.lastWrongfulRefusal) {
			r.lastWrongfulRefusal = s.LastRefused
		}
		for state, n := range s.Failures {
			r.failures[state] += n
		}
		goodputs = append(goodputs, s.goodput())
		if s.goodput() < r.worstGoodput {
			r.worstGoodput, r.worstWorkspace = s.goodput(), w
		}
		if c := calm[w]; c != nil {
			latencies = append(latencies, ratio(float64(s.P99), float64(c.P99)))
		}
	}
	r.medianGoodput, r.medianP99 = quantile(goodputs, 0.5), quantile(latencies, 0.5)
	r.worstP99 = quantile(latencies, 1)
	return r
}

const resultHeader = "| scenario | policy | reads on replicas | violations | worst goodput | median goodput | worst p99 / calm | median p99 / calm | wrongful refusals | failures of workspaces inside their rates | note |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|"

// String returns a row of a Markdown table.
func (r result) String() string {
	return fmt.Sprintf("| %s | %s | %.1f%% | %d | %.3f %s | %.3f | %.2f | %.2f | %.2f%% (%d of %d) | %s | %s |",
		r.scenario, r.baseline, 100*ratio(float64(r.reads.replica), float64(r.reads.replica+r.reads.primary)), r.violations,
		r.worstGoodput, r.worstWorkspace, r.medianGoodput, r.worstP99, r.medianP99,
		100*ratio(float64(r.wrongfulRefusals), float64(r.offered)), r.wrongfulRefusals, r.offered, formatFailures(r.failures), r.note)
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
