package loader_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/loader"
)

// Guards against a misspelt setting or a value out of range that is accepted and
// noticed only at run time.
func TestLoadEntry(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		ok   bool
	}{
		"comments": {"{\n  // The port for metrics.\n  \"metrics_port\": 9000,\n}", true},
		"unknown":  {`{"metrics_prot": 9000}`, false},
		"range":    {`{"metrics_port": 90000}`, false},
		"type":     {`{"metrics_port": "9000"}`, false},
		"level":    {`{"log_level": "loud"}`, false},
		"rate":     {`{"log_lines_per_second": 0}`, false},
		"gc":       {`{"gc_percent": 5}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.jsonc")
			qt.Assert(t, os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
			e, err := loader.LoadObservabilitySettings(file)
			if !test.ok {
				qt.Assert(t, err, qt.ErrorIs, loader.ErrSettings)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, e, qt.Equals, loader.ObservabilitySettings{MetricsPort: 9000, LogLevel: "info", LogLinesPerSecond: 40, GCPercent: 40})
		})
	}
}
