package soaker

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a check of the soak that cannot fail: each history breaks one
// promise and must be reported for it.
func TestChecksReportWhatBreaks(t *testing.T) {
	write := func(id string, o outcome) operation {
		return operation{id: id, key: "key-shops", workspace: "shops", database: "primary",
			writes: []string{id}, sent: at(1), answered: at(1.1), outcome: o, code: "BUSY"}
	}
	read := func(database string) operation {
		return operation{id: "r", key: "key-shops", workspace: "shops", database: database, sent: at(5), answered: at(5.1), outcome: acknowledged}
	}
	for name, test := range map[string]struct {
		history []operation
		commits []imitator.Commit
		runs    []imitator.Run
		gone    map[string]time.Time
		want    string
	}{
		"twice": {
			history: []operation{write("w", acknowledged)},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 1}, {IDs: []string{"w"}, Number: 2}}, want: "twice",
		},
		"lost":    {history: []operation{write("w", acknowledged)}, want: "lost"},
		"refused": {history: []operation{write("w", refused)}, commits: []imitator.Commit{{IDs: []string{"w"}, Number: 1}}, want: "refused"},
		"other workspace": {
			history: []operation{read("primary")},
			runs:    []imitator.Run{{ID: "r", Workspace: "desks", Text: "READ item"}}, want: "key",
		},
		"withdrawn": {
			history: []operation{read("primary")}, gone: map[string]time.Time{"key-shops": at(-1)},
			runs: []imitator.Run{{ID: "r", Workspace: "shops", Text: "READ item"}}, want: "key",
		},
		"stale": {
			history: []operation{write("w", acknowledged), read("bounded_staleness")},
			commits: []imitator.Commit{{IDs: []string{"w"}, Number: 4}},
			runs:    []imitator.Run{{ID: "r", Workspace: "shops", Text: "AFTER 1.3 READ item", Received: 3}}, want: "stale",
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{all: test.history}
			broken := h.checkWrites(test.commits)
			broken = append(broken, h.checkKeys(test.runs, test.gone)...)
			broken = append(broken, h.checkReads(test.runs, test.commits)...)
			qt.Assert(t, broken, qt.HasLen, 1)
			qt.Assert(t, strings.HasPrefix(broken[0], test.want+":"), qt.IsTrue, qt.Commentf("%s", broken[0]))
		})
	}
}

// Guards against a discarded commit being demanded of a read, and a commit that
// is younger than a route's bound.
func TestChecksAllowWhatIsAllowed(t *testing.T) {
	w := operation{id: "w", writes: []string{"w"}, sent: at(4), answered: at(4.1), outcome: acknowledged}
	r := operation{id: "r", key: "k", workspace: "shops", database: "bounded_staleness", sent: at(5), outcome: acknowledged}
	runs := []imitator.Run{{ID: "r", Workspace: "shops", Text: "READ item", Received: 3}}
	h := &history{all: []operation{w, r}}
	qt.Assert(t, h.checkReads(runs, []imitator.Commit{{IDs: []string{"w"}, Number: 4}}), qt.HasLen, 0)
	h.all[1].sent = at(9)
	qt.Assert(t, h.checkReads(runs, []imitator.Commit{{IDs: []string{"w"}, Number: 4, Dropped: true}}), qt.HasLen, 0)
}
