package starter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/reporter"
	"oleanderpulley/platform"
)

func newInvalidEntries(now *time.Time) (*invalidEntries, *bytes.Buffer, *reporter.Registry) {
	logs, registry := &bytes.Buffer{}, &reporter.Registry{}
	return &invalidEntries{Registry: registry, Logger: zerolog.New(logs), Now: func() time.Time { return *now }}, logs, registry
}

// Guards against an entry that is left out unnoticed, and against a line in each round.
func TestInvalidEntryHasOneLineWhenItAppearsAndOneWhenItGoes(t *testing.T) {
	now := time.Unix(1000, 0)
	i, logs, registry := newInvalidEntries(&now)
	i.Observe("servers", cataloger.Revision{Number: 1}, nil)
	qt.Assert(t, logs.Len(), qt.Equals, 0)
	for number := range uint64(50) { // It is rewritten with other reasons.
		revision := cataloger.Revision{Number: 2 + number}
		i.Observe("servers", revision, []platform.InvalidEntry{{Name: "odd", Revision: revision, Reason: fmt.Sprint("reason ", number)}})
	}
	i.Observe("leases", cataloger.Revision{Number: 3}, []platform.InvalidEntry{{Name: "odd", Revision: cataloger.Revision{Number: 3}, Reason: "other kind"}})
	qt.Assert(t, registry.GaugeValue(reporter.Series{Name: "invalid_entries", Reason: "servers"}), qt.Equals, int64(1))
	i.Observe("servers", cataloger.Revision{Number: 40}, nil) // The answer to an earlier call.
	i.Observe("servers", cataloger.Revision{Number: 60}, nil)
	i.Observe("servers", cataloger.Revision{Number: 61}, nil)
	i.Observe("servers", cataloger.Revision{Number: 62}, []platform.InvalidEntry{{Name: "odd", Revision: cataloger.Revision{Number: 62}, Reason: "again"}, {Name: "odd", Revision: cataloger.Revision{Number: 62}}})
	qt.Assert(t, logs.String(), qt.Equals, `{"level":"warn","event":"invalid_entry","kind":"servers","name":"odd","reason":"reason 0","revision":"2"}
{"level":"warn","event":"invalid_entry","kind":"leases","name":"odd","reason":"other kind","revision":"3"}
{"level":"info","event":"invalid_entry_gone","kind":"servers","name":"odd","revision":"60"}
{"level":"warn","event":"invalid_entry","kind":"servers","name":"odd","reason":"again","revision":"62"}
`)
	qt.Assert(t, registry.CounterValue(reporter.Series{Name: "invalid_entries_seen", Reason: "servers"}), qt.Equals, int64(2))
	qt.Assert(t, registry.GaugeValue(reporter.Series{Name: "invalid_entries", Reason: "servers"}), qt.Equals, int64(2))
}

// Guards against a flood of lines, and against memory that grows with the entries of another writer.
func TestInvalidEntriesThatComeAndGoDoNotFloodTheLog(t *testing.T) {
	now := time.Unix(1000, 0)
	i, logs, registry := newInvalidEntries(&now)
	const rounds = 600
	for revision := range uint64(rounds) {
		now = now.Add(100 * time.Millisecond)
		var entries []platform.InvalidEntry
		for n := range 500 {
			entries = append(entries, platform.InvalidEntry{Name: fmt.Sprint(revision%2, "-", n), Reason: "x"})
		}
		i.Observe("servers", cataloger.Revision{Number: revision}, entries)
	}
	lines := strings.Count(logs.String(), "\n")
	qt.Assert(t, lines <= maxEntryLines+int(rounds*100*time.Millisecond/entryLineInterval)+1, qt.IsTrue, qt.Commentf("%d lines", lines))
	qt.Assert(t, strings.Contains(logs.String(), "lines_left_out"), qt.IsTrue)
	qt.Assert(t, len(i.byKind["servers"].byName), qt.Equals, maxTrackedEntries)
	qt.Assert(t, registry.GaugeValue(reporter.Series{Name: "invalid_entries", Reason: "servers"}), qt.Equals, int64(500))
}
