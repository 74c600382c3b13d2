package loader_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/loader"
)

// Guards against a password from which more than the line end of its file is cut.
func TestOnlyOneLineEndOfAPasswordFileIsCut(t *testing.T) {
	for _, file := range []struct{ content, want string }{
		{"p", "p"}, {"p\n", "p"}, {"p\r\n", "p"}, {"p\n\n", "p\n"}, {"p\r\n\r\n", "p\r\n"}, {"p\r", "p\r"}, {"p\r\r\n", "p\r"},
		{" p \t\n", " p \t"}, {"\xffp\x00\n", "\xffp\x00"}, {"\u00a0\n", "\u00a0"},
	} {
		source := loader.Source{File: "f", ReadFile: func(name string) ([]byte, error) {
			if name == "p" {
				return []byte(file.content), nil
			}
			return []byte(`{"data_centre":"d","platform":{"url":"http://127.0.0.1:1"},"backend":{"password_file":"p"}}`), nil
		}}
		settings, err := source.Load()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, settings.Backend.Password, qt.Equals, file.want, qt.Commentf("file %q", file.content))
	}
}
