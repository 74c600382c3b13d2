package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf16"
	"unicode/utf8"
)

// Format appends a JSON event to line as key=value pairs in the order of the
// event's fields, and a newline. Strings that are empty or contain spaces, quotes,
// backslashes, equals signs or characters that are not printable stay quoted; lists and
// objects stay JSON. Characters that are not printable are escaped. An event that is not
// a JSON object is appended unchanged.
func Format(line, event []byte) []byte {
	start := len(line)
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' {
		return append(append(line, rest...), '\n')
	}
	rest = rest[1:]
	for len(rest) > 0 && rest[0] == '"' {
		key, after := cutQuoted(rest)
		if len(after) < 2 || after[0] != ':' {
			return append(append(line[:start], event...), '\n')
		}
		value, next := cutValue(after[1:])
		if len(line) > start {
			line = append(line, ' ')
		}
		line = append(line, key[1:len(key)-1]...)
		line = append(line, '=')
		line = appendPrintable(line, unquoteIfPlain(value))
		rest = next
		if len(rest) > 0 && rest[0] == ',' {
			rest = rest[1:]
		}
	}
	return append(line, '\n')
}

// cutQuoted splits b after the quoted string that it starts with.
func cutQuoted(b []byte) (quoted, rest []byte) {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return b[:i+1], b[i+1:]
		}
	}
	return b, nil
}

// cutValue splits b after the JSON value that it starts with. A list or an object
// counts as one value.
func cutValue(b []byte) (value, rest []byte) {
	if len(b) > 0 && b[0] == '"' {
		return cutQuoted(b)
	}
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			_, after := cutQuoted(b[i:])
			i = len(b) - len(after) - 1
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return b[:i], b[i:]
			}
			depth--
		case ',':
			if depth == 0 {
				return b[:i], b[i:]
			}
		}
	}
	return b, nil
}

// unquoteIfPlain removes the quotes of a string that can be read back without
// them.
func unquoteIfPlain(value []byte) []byte {
	if len(value) < 2 || value[0] != '"' {
		return value
	}
	text := value[1 : len(value)-1]
	if len(text) == 0 || bytes.ContainsAny(text, " =\\\"") || bytes.ContainsFunc(text, isNotPrintable) {
		return value
	}
	return text
}

func isNotPrintable(r rune) bool {
	return !unicode.IsPrint(r)
}

// appendPrintable appends JSON with escapes in place of the characters that are not
// printable, such as U+0085 and U+2028, at which some readers end a line.
func appendPrintable(line, value []byte) []byte {
	for {
		i := bytes.IndexFunc(value, isNotPrintable)
		if i < 0 {
			return append(line, value...)
		}
		line = append(line, value[:i]...)
		r, size := utf8.DecodeRune(value[i:])
		for _, unit := range utf16.AppendRune(nil, r) {
			line = fmt.Appendf(line, `\u%04x`, unit)
		}
		value = value[i+size:]
	}
}

// textField returns the value of a string field of an event, "" if there is none.
func textField(event []byte, name string) string {
	_, after, found := bytes.Cut(event, []byte(`"`+name+`":"`))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(after, []byte{'"'})
	return string(value)
}

// Fields parses a line of key=value pairs, as [Format] writes them. It skips text
// that precedes the first pair.
func Fields(line string) map[string]string {
	fields := map[string]string{}
	for rest := strings.Trim(line, " \t\r\n"); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return fields
		}
		key = key[strings.LastIndexByte(key, ' ')+1:] // Skips text before the first pair.
		value, next := cutFieldValue(after)
		fields[key] = value
		rest = next
	}
	return fields
}

// cutFieldValue splits text after the value that it starts with and unquotes the
// value.
func cutFieldValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	quoted, after := cutQuoted([]byte(text))
	if json.Unmarshal(quoted, &value) != nil {
		value = string(quoted)
	}
	return value, string(after)
}
