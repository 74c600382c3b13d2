package classifier

import "bytes"

type tokenKind uint8

const (
	tokenEnd    tokenKind = iota
	tokenWord             // Keyword or unquoted identifier.
	tokenQuoted           // Quoted identifier.
	tokenString           // String constant.
	tokenOther            // One byte of punctuation, or a number.
)

type token struct {
	kind tokenKind
	text []byte // Includes the quotes of tokenQuoted and tokenString.
}

// lexer splits SQL into tokens. It assumes standard_conforming_strings = on,
// which the proxy's connections use.
type lexer struct {
	sql            []byte
	pos            int
	comment        []byte // Content of the first comment, if it precedes all tokens.
	pastFirstToken bool
}

// next returns the next token. Unterminated strings and comments extend to the end
// of the text.
func (l *lexer) next() token {
	l.skipSpaceAndComments()
	l.pastFirstToken = true
	if l.pos >= len(l.sql) {
		return token{kind: tokenEnd}
	}
	start := l.pos
	c := l.sql[start]
	switch {
	case isStringStart(l.sql[start:]):
		l.pos = start + bytes.IndexByte(l.sql[start:], '\'')
		escapes := c == 'e' || c == 'E'
		l.skipQuoted('\'', escapes)
		for escapes && l.skipToContinuation() {
			l.skipQuoted('\'', true)
		}
		return token{tokenString, l.sql[start:l.pos]}
	case isWordStart(c):
		for l.pos < len(l.sql) && isWordPart(l.sql[l.pos]) {
			l.pos++
		}
		return token{tokenWord, l.sql[start:l.pos]}
	case c == '"':
		l.skipQuoted('"', false)
		return token{tokenQuoted, l.sql[start:l.pos]}
	case c == '$' && l.skipDollarQuoted():
		return token{tokenString, l.sql[start:l.pos]}
	case c >= '0' && c <= '9':
		for l.pos < len(l.sql) && (isWordPart(l.sql[l.pos]) || l.sql[l.pos] == '.') {
			l.pos++
		}
		return token{tokenOther, l.sql[start:l.pos]}
	}
	l.pos++
	return token{tokenOther, l.sql[start:l.pos]}
}

func (l *lexer) skipSpaceAndComments() {
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case isSpace(rest[0]):
			l.pos++
		case len(rest) > 1 && rest[0] == '-' && rest[1] == '-':
			if i := bytes.IndexAny(rest, "\r\n"); i >= 0 {
				l.pos += i
			} else {
				l.pos = len(l.sql)
			}
		case len(rest) > 1 && rest[0] == '/' && rest[1] == '*':
			l.skipComment()
		default:
			return
		}
	}
}

// skipComment skips a block comment, which may contain nested ones.
func (l *lexer) skipComment() {
	start, depth := l.pos, 0
	for l.pos < len(l.sql) {
		rest := l.sql[l.pos:]
		switch {
		case len(rest) > 1 && rest[0] == '/' && rest[1] == '*':
			depth++
			l.pos += 2
		case len(rest) > 1 && rest[0] == '*' && rest[1] == '/':
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			if !l.pastFirstToken && l.comment == nil {
				l.comment = l.sql[start+2 : l.pos-2]
			}
			return
		}
	}
}

// skipQuoted skips a quoted token from its opening quote. A doubled quote does not
// end it, nor does a quote after a backslash if escapes is true.
func (l *lexer) skipQuoted(quote byte, escapes bool) {
	l.pos++
	for l.pos < len(l.sql) {
		c := l.sql[l.pos]
		l.pos++
		switch {
		case c == '\\' && escapes:
			l.pos = min(l.pos+1, len(l.sql))
		case c == quote && l.pos < len(l.sql) && l.sql[l.pos] == quote:
			l.pos++
		case c == quote:
			return
		}
	}
}

// skipToContinuation skips white space with a line end, and comments to the end of a
// line, if another quote follows. The string constant continues there with the same
// escapes.
func (l *lexer) skipToContinuation() bool {
	newLine := false
	for i := l.pos; i < len(l.sql); i++ {
		switch c := l.sql[i]; {
		case c == '\'':
			if newLine {
				l.pos = i
			}
			return newLine
		case c == '\n' || c == '\r':
			newLine = true
		case c == '-' && bytes.HasPrefix(l.sql[i:], []byte("--")):
			end := bytes.IndexAny(l.sql[i:], "\r\n")
			if end < 0 {
				return false
			}
			i += end - 1
		case !isSpace(c):
			return false
		}
	}
	return false
}

// skipDollarQuoted skips a dollar-quoted string and reports whether there was one.
func (l *lexer) skipDollarQuoted() bool {
	rest := l.sql[l.pos:]
	n := 1
	for n < len(rest) && isWordPart(rest[n]) && rest[n] != '$' {
		n++
	}
	if n >= len(rest) || rest[n] != '$' || (n > 1 && !isWordStart(rest[1])) {
		return false
	}
	tag := rest[:n+1]
	if i := bytes.Index(rest[n+1:], tag); i >= 0 {
		l.pos += n + 1 + i + len(tag)
	} else {
		l.pos = len(l.sql)
	}
	return true
}

// isStringStart reports whether s starts with a single quote, or with one after
// the prefix E, B, X, N or U&.
func isStringStart(s []byte) bool {
	if s[0] == '\'' {
		return true
	}
	switch s[0] | 0x20 {
	case 'e', 'b', 'x', 'n':
		return len(s) > 1 && s[1] == '\''
	case 'u':
		return len(s) > 2 && s[1] == '&' && s[2] == '\''
	}
	return false
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool {
	return isWordStart(c) || c >= '0' && c <= '9' || c == '$'
}
