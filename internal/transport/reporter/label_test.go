package reporter_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// Guards against one name that makes a collector refuse all metrics, since the format has
// the escapes \\, \" and \n alone.
func TestLabelsHaveOnlyTheEscapesOfTheFormat(t *testing.T) {
	for name, label := range map[string]string{
		"a": "a", `a"b`: `a\"b`, `a\b`: `a\\b`, "a\nb": `a\nb`, "a\tb\r\x00": "a\tb\r\x00", "a\u00a0\u0085\u2028": "a\u00a0\u0085\u2028",
		"é\U0001f600\U000e0001": "é\U0001f600\U000e0001", "\ufffd": "\ufffd", "a\xff\xfe": "a\ufffd\ufffd",
	} {
		var r reporter.Registry
		r.SetGauge(reporter.Series{Name: "n", Workspace: identifier.WorkspaceName(name), Service: identifier.ServiceName(name), Reason: name}, 1)
		var text strings.Builder
		_, err := r.WriteTo(&text)
		qt.Assert(t, err, qt.IsNil)
		_, line, _ := strings.Cut(text.String(), "\n")
		qt.Check(t, line, qt.Equals, `oleanderpulley_n{workspace="`+label+`",service="`+label+`",reason="`+label+`"} 1`+"\n")
	}
}
