package player

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

func day() Day {
	return Day{
		Length: 10, Workspaces: []Workspace{{Name: "shops", Rate: 10, Weight: 1}, {Name: "desks", Rate: 10, Weight: 1}},
		Routes: []Route{{Name: "ledger", Target: 100, Timeout: 1000}},
	}
}

// requests returns n requests of the workspace every 100 ms for 10 s.
func requests(workspace string, n int, code string, overRate bool) []request {
	var all []request
	for i := range 100 {
		for range n {
			all = append(all, request{
				route: "ledger", workspace: workspace, write: true, sent: time.Duration(i) * 100 * time.Millisecond,
				latency: 20 * time.Millisecond, code: code, overRate: overRate,
			})
		}
	}
	return all
}

// Guards against a report that counts the justified refusals of a flood as wrongful,
// or misses refusals below the rate.
func TestReportCountsWrongfulRefusals(t *testing.T) {
	flood := &history{requests: append(requests("shops", 1, "", false), requests("shops", 4, "BUSY", true)...)}
	r := newReport(day(), 1, flood, nil)
	qt.Check(t, r.WrongfulRefusals, qt.Equals, 9) // The burst, less the tokens that the bucket has left at the end.

	below := &history{requests: requests("desks", 1, "BUSY", true)}
	r = newReport(day(), 1, below, nil)
	qt.Check(t, r.WrongfulRefusals, qt.Equals, 100)
	qt.Check(t, r.Owed, qt.Equals, 100)
	qt.Check(t, r.Routes[0].Refused, qt.Equals, 100)
}

// Guards against missing a write gap that lasts until the end of the day, and
// against counting reads of the primary as reads of a replica.
func TestReportMeasuresWriteGapAndReplicaReads(t *testing.T) {
	all := requests("shops", 1, "", false)[:50]
	runs := []imitator.Execution{{Text: "AFTER 1.2 READ item"}, {Text: "READ item", OnPrimary: true}, {Text: "WRITE item", OnPrimary: true}}
	r := newReport(day(), 1, &history{requests: all}, runs)
	qt.Check(t, r.WriteGap, qt.Equals, 10*time.Second-(4900+20)*time.Millisecond)
	qt.Check(t, r.ReplicaShare, qt.Equals, 0.5)
	qt.Assert(t, r.Plot(filepath.Join(t.TempDir(), "day.svg")), qt.IsNil)
}

// Guards against an invalid day file in the repository, and against a mistyped kind
// of fault that is ignored.
func TestRepositoryDaysAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/loads/*.jsonc")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		_, err := LoadDay(file)
		qt.Check(t, err, qt.IsNil)
	}
	d := day()
	d.Instances, d.DataCentres, d.Service = 1, []string{"a"}, Service{MaxConnections: 1, Slots: 1}
	d.Faults = []Fault{{Kind: "no_such_fault"}}
	qt.Check(t, d.check(), qt.ErrorIs, ErrInvalidDay)
}
