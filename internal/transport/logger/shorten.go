package logger

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// maxTextBytes limits the texts of an event: an id or an error of a client or server
// may be as long as a message, and many events can wait to be written.
const maxTextBytes = 8 << 10

// Shortened returns the text as an event has it: whole, or its first bytes and "...".
func Shortened(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "..."
}

// appendShortened appends a JSON event with its texts shortened and without lists and
// objects that are longer than a text may be. An event that is not a JSON object becomes
// empty.
func appendShortened(short, event []byte) []byte {
	rest := bytes.TrimSpace(event)
	if len(rest) < 2 || rest[0] != '{' {
		return short
	}
	rest = rest[1:]
	short = append(short, '{')
	for len(rest) > 0 && rest[0] == '"' {
		key, after := cutQuoted(rest)
		if len(after) < 2 || after[0] != ':' {
			break
		}
		value, next := cutValue(after[1:])
		if len(short) > 1 {
			short = append(short, ',')
		}
		short = append(append(short, key...), ':')
		short = appendShortenedValue(short, value)
		rest = bytes.TrimPrefix(next, []byte{','})
	}
	return append(short, '}')
}

func appendShortenedValue(short, value []byte) []byte {
	if len(value) <= maxTextBytes {
		return append(short, value...)
	}
	var text string
	if json.Unmarshal(value, &text) != nil {
		return append(short, `"..."`...)
	}
	quoted, err := json.Marshal(Shortened(text))
	if err != nil {
		return append(short, `"..."`...)
	}
	return append(short, quoted...)
}
