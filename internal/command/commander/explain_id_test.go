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
	var log bytes.Buffer
	w := &logger.Writer{Out: &log}
	l := zerolog.New(w)
	for _, id := range ids {
		l.Info().Str("time", "2026-12-06T22:00:00Z").Str("event", "statement_failed").Str("id", id).Send()
	}
	w.Close()
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, log.Bytes(), 0o600), qt.IsNil)
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
	for _, id := range []string{"\xff", "a\xc3", "\xed\xa0\x80", strings.Repeat("a\xff", 1<<19)} {
		out, warnings, err := runExplain(id, logOf(t, "other", id))
		qt.Check(t, err, qt.IsNil, qt.Commentf("id %q", id))
		qt.Check(t, strings.Count(out, "\n"), qt.Equals, 1, qt.Commentf("id %q", id))
		qt.Check(t, warnings, qt.Contains, "not logged whole")
	}
	_, _, err := runExplain("a\x1b[2J\xff", logOf(t, "other"))
	qt.Assert(t, err, qt.ErrorIs, errRequestNotLogged)
	qt.Assert(t, err, qt.ErrorMatches, `id "a\\x1b\[2J�": .*`)
}

// Guards against one line of a client's long text that hides all requests of the log.
func TestLongLinesHideNoRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	line := "time=2026-12-06T22:00:00Z event=statement_failed id="
	qt.Assert(t, os.WriteFile(file, []byte(line+strings.Repeat("x", 3<<20)+"\n"+line+"a\n"), 0o600), qt.IsNil)
	out, _, err := runExplain("a", file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(out, "\n"), qt.Equals, 1)
}
