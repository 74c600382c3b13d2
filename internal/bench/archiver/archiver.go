package archiver

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// updateFlag is the name of the boolean flag, defined by the package under test, that
// makes tests write the golden files of formats that have none.
const updateFlag = "update"

const (
	directory   = "testdata/formats"
	bytesInLine = 32
)

// Format is the encoding of one type of record or message.
type Format struct {
	Name    string // Of the golden files.
	Version int    // 0 means 1.
	// Write returns the encoded value.
	Write func(value any) ([]byte, error)
	// Read decodes a value that Write encoded.
	Read func(data []byte) (any, error)
	// Text reports that the encoded form is text, which the file holds as it is. The
	// file of a binary form is hexadecimal.
	Text bool
	// Unstable reports that the bytes do not follow from the format alone, since a library
	// compresses them. What is read from the golden file is compared in their place.
	Unstable bool
}

// Check compares what Write returns for the value with the golden file of the format's
// version, and reads the files of all versions. What is read from the file of
// the present version must be written back as the same bytes.
func (f Format) Check(t *testing.T, value any) {
	t.Helper()
	written, err := f.Write(value)
	qt.Assert(t, err, qt.IsNil)
	if _, err := os.Stat(f.path(f.version())); os.IsNotExist(err) && isUpdating() {
		f.create(t, written)
	}
	golden := f.load(t, f.version())
	if !f.Unstable && !bytes.Equal(written, golden) {
		t.Fatalf("format %s is not that of version %d. Other builds read the old format: if they can read the new one "+
			"too, raise the version and run the test with -update, which keeps the old file.\nwritten:\n%sgolden:\n%s",
			f.Name, f.version(), f.printable(written), f.printable(golden))
	}
	for version := 1; version <= f.version(); version++ {
		data := f.load(t, version)
		read, err := f.Read(data)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("reading version %d of %s", version, f.Name))
		back, err := f.Write(read)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("writing what version %d of %s has", version, f.Name))
		if version == f.version() && !bytes.Equal(back, written) {
			t.Fatalf("%s is not written back as it was read.\nwritten back:\n%swritten:\n%s", f.Name, f.printable(back), f.printable(written))
		}
	}
}

func isUpdating() bool {
	f := flag.Lookup(updateFlag)
	return f != nil && f.Value.String() == "true"
}

func (f Format) version() int {
	return max(1, f.Version)
}

func (f Format) path(version int) string {
	extension := "hex"
	if f.Text {
		extension = "json"
	}
	return filepath.Join(directory, fmt.Sprintf("%s.v%d.%s", f.Name, version, extension))
}

func (f Format) create(t *testing.T, data []byte) {
	t.Helper()
	qt.Assert(t, os.MkdirAll(directory, 0o750), qt.IsNil)
	qt.Assert(t, os.WriteFile(f.path(f.version()), []byte(f.printable(data)), 0o600), qt.IsNil)
}

func (f Format) load(t testing.TB, version int) []byte {
	t.Helper()
	text, err := os.ReadFile(f.path(version))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("a new format or version gets its file with -update"))
	return decodeFile(t, f.path(version), text)
}

func (f Format) printable(data []byte) string {
	if f.Text {
		return string(data) + "\n"
	}
	var b strings.Builder
	for len(data) > 0 {
		n := min(bytesInLine, len(data))
		fmt.Fprintf(&b, "%x\n", data[:n])
		data = data[n:]
	}
	return b.String()
}

func decodeFile(t testing.TB, path string, text []byte) []byte {
	t.Helper()
	if filepath.Ext(path) != ".hex" {
		return bytes.TrimSuffix(text, []byte("\n"))
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", path))
	return data
}

// Files returns the contents of the golden files whose names match the pattern, in the
// encoded form. Fuzz targets start from them.
func Files(t testing.TB, pattern string) [][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*"))
	qt.Assert(t, err, qt.IsNil)
	matching := regexp.MustCompile(pattern)
	var all [][]byte
	for _, path := range paths {
		if !matching.MatchString(filepath.Base(path)) {
			continue
		}
		text, err := os.ReadFile(path) //nolint:gosec // The path is below the package's directory.
		qt.Assert(t, err, qt.IsNil)
		all = append(all, decodeFile(t, path, text))
	}
	qt.Assert(t, all, qt.Not(qt.HasLen), 0, qt.Commentf("no golden file matches %s", pattern))
	return all
}

// JSON returns the format of a record that is stored as JSON and has the type T.
func JSON[T any](name string, version int) Format {
	return Format{
		Name: name, Version: version, Text: true, Write: json.Marshal,
		Read: func(data []byte) (any, error) {
			var value T
			err := json.Unmarshal(data, &value)
			return value, err
		},
	}
}
