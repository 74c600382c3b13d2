package classifier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/classifier"
)

// Guards against a value of a setting that is trimmed, or read with the quotes,
// escapes or comments around it.
func TestSettingValues(t *testing.T) {
	for text, want := range map[string]string{
		`'a' /* comment */`:     "a",
		"'a' -- comment":        "a",
		"/* 'b' */ 'a';":        "a",
		"'a;'":                  "a;",
		"'a\r' \r\n":            "a\r",
		"' a '":                 " a ",
		"a\u00a0":               "a\u00a0",
		"\u0085":                "\u0085",
		"'\xff'":                "\xff",
		"'it''s'":               "it's",
		`'a\'`:                  `a\`,
		`E'a\\''\n\x41\101\''b`: "", // Malformed.
		`E'a\\''\n\x41\101\''`:  "a\\'\nAA'",
		"$$a'b$$":               "a'b",
		"$x$ a $x$":             " a ",
		`"a""b"`:                `a"b`,
		"7/4096":                "7/4096",
		" 500ms ;":              "500ms",
		"Default":               "",
		"'default'":             "default",
	} {
		got := classifier.Classify([]byte("SET oleanderpulley.request_id = " + text)).ProxyStatement
		qt.Check(t, got.Name, qt.Equals, "request_id")
		qt.Check(t, got.Value, qt.Equals, want, qt.Commentf("%q", text))
	}
	for _, text := range []string{"'a' 'b'", "'a', 'b'", "U&'a'", "X'41'", "'a", `E'\u0041'`, "$$a", `E'a\`, "", "'a''", "E'a''", `E'\000'`, "E'a'\n'b'", `E'\x'`} {
		got := classifier.Classify([]byte("SET oleanderpulley.request_id = " + text)).ProxyStatement
		qt.Check(t, got.Malformed, qt.IsTrue, qt.Commentf("%q", text))
	}
}

// Guards against a value of a hint that loses more than the white space of SQL
// around it.
func TestHintValues(t *testing.T) {
	for text, want := range map[string]string{
		"a\u00a0": "a\u00a0", "\u2003a": "\u2003a", "a\u0085": "a\u0085", "a b=c": "a b=c", "\xff": "\xff",
	} {
		s := classifier.Classify([]byte("/* oleanderpulley: request_id= \t" + text + "\r\n*/ SELECT 1"))
		_, value, _ := classifier.NextHint(s.Hints)
		qt.Check(t, value, qt.Equals, want, qt.Commentf("%q", text))
	}
}

// Guards against DEALLOCATE that drops a statement of another name.
func TestDeallocatedNames(t *testing.T) {
	for text, want := range map[string]string{
		`"all"`: "all", `"""a"""`: `"a"`, "\xc3\x84A": "\xc3\x84a", "\xffA": "\xffa", "ALL": "", `"A"`: "A",
	} {
		got := classifier.Classify([]byte("DEALLOCATE " + text)).ProxyStatement
		qt.Check(t, got.Name, qt.Equals, want, qt.Commentf("%q", text))
	}
}
