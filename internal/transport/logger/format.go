package logger

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Format appends a JSON event to line as key=value pairs in the order of its
// fields. Texts with blanks, quotes or equals signs stay quoted. An event that
// is not one flat JSON object is appended as it is.
func Format(line, event []byte) []byte {
	start := len(line)
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' {
		return append(append(line, rest...), '\n')
	}
	rest = rest[1:]
	for len(rest) > 0 && rest[0] == '"' {
		key, after := cutText(rest)
		if len(after) < 2 || after[0] != ':' {
			return append(append(line[:start], event...), '\n')
		}
		value, next := cutValue(after[1:])
		if len(line) > start {
			line = append(line, ' ')
		}
		line = append(line, key[1:len(key)-1]...)
		line = append(line, '=')
		line = append(line, plain(value)...)
		rest = next
		if len(rest) > 0 && rest[0] == ',' {
			rest = rest[1:]
		}
	}
	return append(line, '\n')
}

// cutText returns the quoted text at the start and what follows it.
func cutText(b []byte) (text, rest []byte) {
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

// cutValue returns the value at the start and what follows it. Lists and
// objects are returned whole.
func cutValue(b []byte) (value, rest []byte) {
	if len(b) > 0 && b[0] == '"' {
		return cutText(b)
	}
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			_, after := cutText(b[i:])
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

// plain removes the quotes of a text that needs none.
func plain(value []byte) []byte {
	if len(value) < 2 || value[0] != '"' {
		return value
	}
	text := value[1 : len(value)-1]
	if len(text) == 0 || bytes.ContainsAny(text, " =\\\"") {
		return value
	}
	return text
}

// field returns a text field of an event, "" if there is none.
func field(event []byte, name string) string {
	_, after, found := bytes.Cut(event, []byte(`"`+name+`":"`))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(after, []byte{'"'})
	return string(value)
}

// Fields reads a line of key=value pairs.
func Fields(line string) map[string]string {
	fields := map[string]string{}
	for rest := strings.TrimSpace(line); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return fields
		}
		key = key[strings.LastIndexByte(key, ' ')+1:] // Skips what precedes the first pair.
		value, next := cutField(after)
		fields[key] = value
		rest = next
	}
	return fields
}

func cutField(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	quoted, after := cutText([]byte(text))
	if json.Unmarshal(quoted, &value) != nil {
		value = string(quoted)
	}
	return value, string(after)
}
