package backendserver

import "strings"

type tokenKind byte

const (
	endToken tokenKind = iota
	wordToken
	quotedToken // a quoted identifier
	numberToken
	stringToken
	paramToken
	symbolToken
)

type token struct {
	kind   tokenKind
	text   string
	offset int // offset in the SQL text
}

// scan splits SQL text into tokens and skips comments. Unquoted words are
// converted to lower case.
func scan(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		rest := sql[i:]
		switch {
		case strings.IndexByte(" \t\r\n", sql[i]) >= 0:
			i++
		case strings.HasPrefix(rest, "--"):
			i += lengthThrough(rest, "\n")
		case strings.HasPrefix(rest, "/*"):
			i += lengthThrough(rest, "*/")
		default:
			t, n, err := scanToken(rest)
			if err != nil {
				return nil, err
			}
			t.offset = i
			tokens = append(tokens, t)
			i += n
		}
	}
	return tokens, nil
}

// scanToken returns the token at the start of s and its length in bytes.
func scanToken(s string) (token, int, error) {
	switch c := s[0]; {
	case len(s) > 1 && (c == 'e' || c == 'E') && s[1] == '\'':
		body, n, ok := scanEscaped(s[1:])
		if !ok {
			return token{}, 0, sqlErrorf("42601", "unterminated escape string")
		}
		return token{kind: stringToken, text: body}, n + 1, nil
	case c == '\'' || c == '"':
		body, n, ok := scanQuoted(s)
		if !ok {
			return token{}, 0, sqlErrorf("42601", "unterminated quoted string")
		}
		if c == '"' {
			return token{kind: quotedToken, text: body}, n, nil
		}
		return token{kind: stringToken, text: body}, n, nil
	case isDigit(c):
		n := prefixLength(s, func(b byte) bool { return isDigit(b) || b == '.' })
		return token{kind: numberToken, text: s[:n]}, n, nil
	case isWordByte(c):
		n := prefixLength(s, isWordByte)
		return token{kind: wordToken, text: strings.ToLower(s[:n])}, n, nil
	case c == '$':
		n := 1 + prefixLength(s[1:], isDigit)
		return token{kind: paramToken, text: s[1:n]}, n, nil
	}
	for _, symbol := range []string{"::", "<=", ">=", "<>", "!="} {
		if strings.HasPrefix(s, symbol) {
			return token{kind: symbolToken, text: symbol}, 2, nil
		}
	}
	return token{kind: symbolToken, text: s[:1]}, 1, nil
}

// lengthThrough returns the length of s up to and including the first end
// marker, or of all of s.
func lengthThrough(s, end string) int {
	if n := strings.Index(s, end); n >= 0 {
		return n + len(end)
	}
	return len(s)
}

// prefixLength returns the number of leading bytes of s for which ok is true.
func prefixLength(s string, ok func(byte) bool) int {
	n := 0
	for n < len(s) && ok(s[n]) {
		n++
	}
	return n
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// scanQuoted returns the text between the quotes at the start of s, in which
// doubled quotes are unescaped, and its length with the quotes.
func scanQuoted(s string) (body string, n int, ok bool) {
	q := s[0]
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if s[i] != q {
			b.WriteByte(s[i])
			continue
		}
		if i+1 == len(s) || s[i+1] != q {
			return b.String(), i + 1, true
		}
		b.WriteByte(q)
		i++
	}
	return "", 0, false
}

// scanEscaped is scanQuoted for an escape string constant. A backslash stands for
// the byte that follows; no other escapes are supported.
func scanEscaped(s string) (body string, n int, ok bool) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '\\' && i+1 < len(s):
			i++
		case s[i] == '\'' && i+1 < len(s) && s[i+1] == '\'':
			i++
		case s[i] == '\'':
			return b.String(), i + 1, true
		}
		b.WriteByte(s[i])
	}
	return "", 0, false
}
