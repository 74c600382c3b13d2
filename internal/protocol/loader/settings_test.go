package loader_test

import (
	"flag"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"oleanderpulley/internal/protocol/loader"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against settings that are read incorrectly or rejected without the
// position of the error, and against a secret being printed.
func TestSettingsGolden(t *testing.T) {
	const golden = "testdata/settings.txtar"
	archive, err := txtar.ParseFile(golden)
	qt.Assert(t, err, qt.IsNil)
	files := map[string]string{}
	for _, f := range archive.Files {
		files[f.Name] = string(f.Data)
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		input, ok := strings.CutSuffix(name, ".jsonc")
		if !ok {
			continue
		}
		t.Run(input, func(t *testing.T) {
			got := loadCase(name, files)
			if *update {
				files[input+".out"] = got
				return
			}
			qt.Assert(t, got, qt.Equals, files[input+".out"])
		})
	}
	if *update {
		writeGolden(t, golden, archive, files)
	}
}

// loadCase loads the settings file of a test case and returns the printed settings
// or the error. The files <case>.env and <case>.flags contain the environment and
// the flags.
func loadCase(name string, files map[string]string) string {
	base := strings.TrimSuffix(name, ".jsonc")
	source := loader.Source{
		File: name, Environ: strings.Fields(files[base+".env"]), Overrides: map[string]string{},
		ReadFile: func(name string) ([]byte, error) {
			if text, ok := files[name]; ok {
				return []byte(text), nil
			}
			return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
		},
	}
	for _, f := range strings.Fields(files[base+".flags"]) {
		path, value, _ := strings.Cut(f, "=")
		source.Overrides[path] = value
	}
	s, err := source.Load()
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	text, err := s.MarshalMasked()
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return string(text) + "\n"
}

func writeGolden(t *testing.T, golden string, archive *txtar.Archive, files map[string]string) {
	archive.Files = nil
	for _, name := range slices.Sorted(maps.Keys(files)) {
		archive.Files = append(archive.Files, txtar.File{Name: name, Data: []byte(files[name])})
	}
	qt.Assert(t, os.WriteFile(golden, txtar.Format(archive), 0o600), qt.IsNil)
}

// Guards against defaults that are not valid for an instance on loopback, and
// against two instances with the same ID.
func TestDefaultsLoad(t *testing.T) {
	a, err := loader.Source{}.Load()
	qt.Assert(t, err, qt.IsNil)
	b, err := loader.Source{}.Load()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.InstanceID, qt.Not(qt.Equals), b.InstanceID)
	qt.Assert(t, a.Clients.Listen, qt.Equals, "127.0.0.1:6432")
}
