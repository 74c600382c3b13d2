package splitter_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/splitter"
)

// FuzzHasExactTexts guards against a string that decoding changes and that counts as
// exact, and the reverse.
func FuzzHasExactTexts(f *testing.F) {
	for _, text := range []string{`a`, "\xff", "\ufffd", `\ufffd`, `\ud800`, `\ud83d\ude00`, `\ude00\ud83d`, `\\ud800`, `\\\ud800`, `\ud83d\ud83d\ude00`, `\ud83d\\ude00`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		quoted := append(append([]byte{'"'}, text...), '"')
		var decoded string
		if json.Unmarshal(quoted, &decoded) != nil {
			return
		}
		held := strings.Count(string(text), "\ufffd") + escapesOf(string(text), "fffd")
		isReplaced := strings.Count(decoded, "\ufffd") > held
		qt.Assert(t, splitter.HasExactTexts(quoted), qt.Equals, !isReplaced, qt.Commentf("%q", text))
	})
}

// escapesOf counts the escapes of a code unit in a JSON string.
func escapesOf(text, unit string) int {
	n := 0
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		if i+6 <= len(text) && text[i+1] == 'u' && strings.EqualFold(text[i+2:i+6], unit) {
			n++
		}
		i++
	}
	return n
}
