package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a check of the soak test that cannot fail: each history breaks one
// promise, and exactly that one must be reported.
func TestChecksReportBrokenPromises(t *testing.T) {
	write := func(id string, o outcome) operation {
		return operation{id: id, key: "key-shops", workspace: "shops", database: "primary",
			writeIDs: []string{id}, sent: at(1), answered: at(1.1), outcome: o, code: "BUSY"}
	}
	read := func(database string) operation {
		return operation{id: "r", key: "key-shops", workspace: "shops", database: database, sent: at(5), answered: at(5.1), outcome: acknowledged}
	}
	for name, test := range map[string]struct {
		history   []operation
		commits   []imitator.Commit
		runs      []imitator.Execution
		withdrawn map[string]time.Time
		want      string
	}{
		"twice": {
			history: []operation{write("w", acknowledged)},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 1}, {IDs: []string{"w"}, Number: 2}}, want: "twice",
		},
		"lost":    {history: []operation{write("w", acknowledged)}, want: "lost"},
		"refused": {history: []operation{write("w", refused)}, commits: []imitator.Commit{{IDs: []string{"w"}, Number: 1}}, want: "refused"},
		"other workspace": {
			history: []operation{read("primary")},
			runs:    []imitator.Execution{{ID: "r", Workspace: "desks", Text: "READ item"}}, want: "key",
		},
		"withdrawn": {
			history: []operation{read("primary")}, withdrawn: map[string]time.Time{"key-shops": at(-1)},
			runs: []imitator.Execution{{ID: "r", Workspace: "shops", Text: "READ item"}}, want: "key",
		},
		"other shape": {
			history: []operation{{id: "r", workspace: "shops", database: "primary", shape: "READ q 2c", outcome: acknowledged}},
			runs:    []imitator.Execution{{ID: "r", Workspace: "shops", Text: "EXECUTE p1 item", Shape: "READ q_2c"}}, want: "pinned",
		},
		"stale execution": {
			history: []operation{write("w", acknowledged), {id: "r", workspace: "shops", database: "bounded_staleness", shape: "READ q", sent: at(5), outcome: acknowledged}},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4}},
			runs:    []imitator.Execution{{ID: "r", Workspace: "shops", Text: "AFTER 1.3 EXECUTE p1 item", Shape: "READ q", Received: 3}}, want: "stale",
		},
		"stale": {
			history: []operation{write("w", acknowledged), read("bounded_staleness")},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4}},
			runs:    []imitator.Execution{{ID: "r", Workspace: "shops", Text: "AFTER 1.3 READ item", Received: 3}}, want: "stale",
		},
		"own write": {
			history: []operation{write("w", acknowledged), {id: "r", database: "read_own_writes", lastWrite: "w", sent: at(1.2), outcome: acknowledged}},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4}},
			runs:    []imitator.Execution{{ID: "r", Text: "READ item", Received: 3}}, want: "stale",
		},
		"stale log of a replaced primary": {
			history: []operation{write("w", acknowledged), read("bounded_staleness")},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4, Term: 2}},
			runs:    []imitator.Execution{{ID: "r", Workspace: "shops", Text: "READ item", Received: 9, Term: 1}}, want: "stale",
		},
		"replaced primary": {
			history: []operation{write("w", acknowledged)},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4, Replaced: true}}, want: "one",
		},
		"discarded": {
			history: []operation{write("w", acknowledged)},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4, Discarded: true}}, want: "discarded",
		},
		"rate": {history: floodOperations(300), runs: floodRuns(300), want: "rate"},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{operations: test.history}
			broken := h.checkWrites(test.commits)
			broken = append(broken, h.checkPrimaries(test.commits)...)
			broken = append(broken, h.checkKeys(test.runs, test.withdrawn)...)
			broken = append(broken, h.checkShapes(test.runs)...)
			broken = append(broken, h.checkReads(test.runs, test.commits)...)
			broken = append(broken, h.checkRates(test.runs)...)
			broken = append(broken, h.checkDiscarded(test.commits)...)
			qt.Assert(t, broken, qt.HasLen, 1)
			qt.Assert(t, strings.HasPrefix(broken[0], test.want+":"), qt.IsTrue, qt.Commentf("%s", broken[0]))
		})
	}
}

// Guards against a check that accepts a falling token or one with two holders.
func TestCheckTokens(t *testing.T) {
	one := imitator.Promotion{Holder: "one", Token: 4}
	qt.Assert(t, checkTokens([]imitator.Promotion{one, one, {Holder: "two", Token: 5}}), qt.HasLen, 0)
	qt.Assert(t, checkTokens([]imitator.Promotion{one, {Holder: "two", Token: 4}}), qt.HasLen, 1)
	qt.Assert(t, checkTokens([]imitator.Promotion{one, {Holder: "two", Token: 3}}), qt.HasLen, 1)
}

// Guards against false reports: a read need not reflect a commit that a promotion
// discarded, nor one that is newer than the staleness bound of the route.
func TestChecksAcceptAllowedStaleness(t *testing.T) {
	w := operation{id: "w", writeIDs: []string{"w"}, sent: at(4), answered: at(4.1), outcome: acknowledged}
	r := operation{id: "r", key: "k", workspace: "shops", database: "bounded_staleness", sent: at(5), outcome: acknowledged}
	runs := []imitator.Execution{{ID: "r", Workspace: "shops", Text: "READ item", Received: 3}}
	h := &history{operations: []operation{w, r}}
	qt.Assert(t, h.checkReads(runs, []imitator.Commit{{IDs: []string{"w"}, Number: 4}}), qt.HasLen, 0)
	h.operations[1].sent = at(9)
	qt.Assert(t, h.checkReads(runs, []imitator.Commit{{IDs: []string{"w"}, Number: 4, Discarded: true}}), qt.HasLen, 0)
}

// floodOperations returns n operations of two statements each, all sent at the same time.
func floodOperations(n int) []operation {
	var all []operation
	for i := range n {
		id := fmt.Sprint(i)
		all = append(all, operation{id: id, statementIDs: []string{id + "w", id}, workspace: "desks", database: "primary", sent: at(1)})
	}
	return all
}

// floodRuns returns the statements of floodOperations(n) as the servers ran them.
func floodRuns(n int) []imitator.Execution {
	var all []imitator.Execution
	for i := range n {
		id := fmt.Sprint(i)
		for _, id := range []string{id + "w", id} {
			all = append(all, imitator.Execution{ID: id, Workspace: "desks", Text: "COMMIT", At: at(1 + float64(i)/100)})
		}
	}
	return all
}

// Guards against counting statements instead of operations: a transaction counts
// once against the rate, however many statements it has.
func TestRateCountsOperations(t *testing.T) {
	limit := maxOperationsInWindow("desks")
	h := &history{operations: floodOperations(limit)}
	qt.Assert(t, h.checkRates(floodRuns(limit)), qt.HasLen, 0)
}
