package splitter

import (
	"bytes"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// HasExactTexts reports whether encoding/json decodes each string of the document to
// exactly what it holds. It replaces bytes that are not UTF-8, and halves of surrogate
// pairs, by U+FFFD without an error, so that different strings can become one.
func HasExactTexts(data []byte) bool {
	if !utf8.Valid(data) {
		return false
	}
	for {
		start := bytes.IndexByte(data, '\\')
		if start < 0 {
			return true
		}
		data = data[start:]
		first, ok := unicodeEscape(data)
		if !ok {
			data = data[min(2, len(data)):]
			continue
		}
		data = data[escapeBytes:]
		if !utf16.IsSurrogate(first) {
			continue
		}
		second, _ := unicodeEscape(data)
		if utf16.DecodeRune(first, second) == utf8.RuneError {
			return false
		}
		data = data[escapeBytes:]
	}
}

// escapeBytes is the length of an escape such as \u00e9.
const escapeBytes = 6

// unicodeEscape returns the code unit of the escape that the data starts with.
func unicodeEscape(data []byte) (rune, bool) {
	if len(data) < escapeBytes || data[0] != '\\' || data[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(data[2:escapeBytes]), 16, 16)
	return rune(unit), err == nil
}
