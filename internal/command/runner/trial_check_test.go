package runner_test

import (
	"context"
	"fmt"
	"regexp"

	qt "github.com/frankban/quicktest"

	"github.com/jackc/pgx/v5/pgconn"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/historian"
	"oleanderpulley/internal/state/identifier"
)

var operationPattern = regexp.MustCompile(`op-\d+-\d+`)

// checkHistory adds the final contents and the statement logs of the members to the
// history, and fails the test for each violation of a guarantee in it.
func (tr *trial) checkHistory(ctx context.Context) {
	primary := tr.newestPrimary()
	final := historian.FinalState{Service: serviceName, Values: map[string][]string{}}
	st := primary.Status()
	final.History, final.Received = st.History, identifier.LogOffset(st.Received)
	all := tr.launcher.All()
	conn, err := pgconn.Connect(ctx, tr.launcher.URL(all[0], serviceName, workspaceName))
	qt.Assert(tr.t, err, qt.IsNil)
	defer func() { _ = conn.Close(ctx) }()
	present := map[string]bool{}
	for i := range keyCount {
		key := fmt.Sprintf("k%d", i)
		values, err := query(conn, fmt.Sprintf("SELECT id FROM sets WHERE k = '%s'", key))
		qt.Assert(tr.t, err, qt.IsNil)
		final.Values[key] = values
		for _, v := range values {
			present[v] = true
		}
	}
	tr.history.Add(final)
	for _, s := range tr.launcher.Groups[serviceName].Servers() {
		tr.history.AddRecords(serviceName, s.Records(), func(r backendserver.Record) (string, identifier.RequestID) {
			return operationPattern.FindString(r.SQL), ""
		})
	}
	tr.excludeLostWrites(present)
	violations := tr.history.Check()
	tr.logSummary()
	for _, v := range violations {
		tr.t.Errorf("seed %d: %s", tr.seed, v)
	}
}

// excludeLostWrites changes the outcome of acknowledged writes to unknown if they
// were not durable and the data at the end lacks them. docs/design.md 5.2 permits
// this loss, and a session that does not pass on its position across a reconnect
// cannot be notified of it.
func (tr *trial) excludeLostWrites(present map[string]bool) {
	for i := range tr.history.Writes {
		w := &tr.history.Writes[i]
		if !w.Durable && w.Outcome == historian.Acknowledged && !present[w.Operation] {
			tr.t.Logf("non-durable write %s, acknowledged at %s, was lost", w.Operation, w.Answered)
			w.Outcome = historian.Unknown
		}
	}
}

// logSummary logs the counts of outcomes. It fails the test if too few writes were
// acknowledged.
func (tr *trial) logSummary() {
	counts := map[historian.Outcome]int{}
	for _, w := range tr.history.Writes {
		counts[w.Outcome]++
	}
	reads := map[historian.Outcome]int{}
	for _, r := range tr.history.Reads {
		reads[r.Outcome]++
	}
	tr.t.Logf("seed %d: writes %v, reads %v, terms %d", tr.seed, counts, reads, len(tr.history.Terms))
	qt.Check(tr.t, counts[historian.Acknowledged] > 50, qt.IsTrue, qt.Commentf("too few acknowledged writes to check the guarantees"))
}
