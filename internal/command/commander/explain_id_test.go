package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/transport/logger"
)

// logOf writes a line for each id to a file.
func logOf(t *testing.T, ids ...string) string {
	var log []byte
	for _, id := range ids {
		var event bytes.Buffer
		l := zerolog.New(&event)
		l.Info().Str("time", "2026-12-06T22:00:00Z").Str("event", "statement_failed").Str("id", id).Send()
		log = logger.Format(log, event.Bytes())
	}
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, log, 0o600), qt.IsNil)
	return file
}

func runExplain(id, file string) (out, warnings string, err error) {
	c := newExplain()
	var stdout, stderr strings.Builder
	c.SetOut(&stdout)
	c.SetErr(&stderr)
	c.SetArgs([]string{"--id", id, file})
	c.SilenceErrors, c.SilenceUsage = true, true
	err = c.Execute()
	return stdout.String(), stderr.String(), err
}

// Guards against a request that is not found by the id that its client sent.
func TestRequestsAreFoundByIDsOfAnyBytes(t *testing.T) {
	for _, id := range []string{"a", "a\u0085", "\u00a0", "a\r", "a\nb", "a\x00", `"a\`, "a=b", "\ufffd", "\u2028"} {
		out, warnings, err := runExplain(id, logOf(t, "other", id))
		qt.Check(t, err, qt.IsNil, qt.Commentf("id %q", id))
		qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1, qt.Commentf("id %q", id))
		qt.Check(t, warnings, qt.Equals, "")
	}
	for _, id := range []string{"\xff", "a\xc3", "\xed\xa0\x80"} {
		out, warnings, err := runExplain(id, logOf(t, "other", id))
		qt.Check(t, err, qt.IsNil, qt.Commentf("id %q", id))
		qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1, qt.Commentf("id %q", id))
		qt.Check(t, warnings, qt.Contains, "not UTF-8")
	}
	_, _, err := runExplain("a\x1b[2J\xff", logOf(t, "other"))
	qt.Assert(t, err, qt.ErrorIs, errRequestNotLogged)
	qt.Assert(t, err, qt.ErrorMatches, `id "a\\x1b\[2J�": .*`)
}

// Guards against one line of a client's long text that hides all requests of the log.
func TestLongLinesHideNoRequest(t *testing.T) {
	out, _, err := runExplain("a", logOf(t, strings.Repeat("\x01", 1<<20), "a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(out, "\n"), qt.Equals, 1)
}
