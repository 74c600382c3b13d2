package classifier

import (
	"bytes"
	"strconv"
	"strings"
)

// decodeString returns the text of a string constant: a plain one, an escape string
// without Unicode escapes, or a dollar-quoted one. ok is false for any other
// constant and for one that is not terminated.
func decodeString(constant []byte) (text string, ok bool) {
	switch constant[0] {
	case '$':
		tag := constant[:bytes.IndexByte(constant[1:], '$')+2]
		body, ok := bytes.CutSuffix(constant[len(tag):], tag)
		return string(body), ok
	case '\'':
		body, ok := cutQuote(constant[1:])
		// An odd number of quotes means that the last one is half of a doubled one.
		return strings.ReplaceAll(string(body), "''", "'"), ok && bytes.Count(body, []byte("'"))%2 == 0
	case 'e', 'E':
		body, ok := cutQuote(constant[2:])
		if !ok {
			return "", false
		}
		return decodeEscapes(body)
	}
	return "", false
}

// cutQuote removes the closing quote of a string constant.
func cutQuote(rest []byte) (body []byte, ok bool) { return bytes.CutSuffix(rest, []byte("'")) }

var escapedBytes = map[byte]byte{'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// decodeEscapes returns the text between the quotes of an escape string.
func decodeEscapes(body []byte) (text string, ok bool) {
	out := make([]byte, 0, len(body))
	for i := 0; i < len(body); i++ {
		c := body[i]
		switch {
		case (c == '\'' || c == '\\') && i+1 == len(body):
			return "", false
		case c == '\'' && body[i+1] != '\'': // The constant continues on another line.
			return "", false
		case c == '\'': // Doubled.
			i++
		case c == '\\':
			i++
			b, n, ok := decodeEscape(body[i:])
			if !ok {
				return "", false
			}
			i += n - 1
			c = b
		}
		out = append(out, c)
	}
	return string(out), true
}

// decodeEscape returns the byte for the text after a backslash, and the length of
// that text.
func decodeEscape(s []byte) (b byte, length int, ok bool) {
	base, digits := 8, s
	switch c := s[0]; {
	case c == 'u' || c == 'U':
		return 0, 0, false
	case c == 'x':
		base, digits = 16, s[1:]
	case c < '0' || c > '7':
		if named, found := escapedBytes[c]; found {
			c = named
		}
		return c, 1, true
	}
	n := 0
	for n < len(digits) && n < 16/base+1 && isDigit(digits[n], base) {
		n++
	}
	if base == 16 {
		n = min(n, 2)
	}
	v, err := strconv.ParseUint(string(digits[:n]), base, 8)
	if err != nil || v == 0 {
		return 0, 0, false // Out of range, without digits, or a zero byte.
	}
	return byte(v), len(s) - len(digits) + n, true
}

func isDigit(c byte, base int) bool {
	_, err := strconv.ParseUint(string(c), base, 8)
	return err == nil
}
