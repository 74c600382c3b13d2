package classifier

import "bytes"

// Class classifies SQL text by the access that it needs, in ascending order.
type Class uint8

// The classes. The class of several statements is the highest of theirs.
const (
	Empty Class = iota // No statement.
	Read               // Known to be read-only.
	Write              // Anything else.
)

// Summary is the classification of an SQL text of zero or more statements.
type Summary struct {
	Class               Class
	Count               int             // Number of statements.
	Begin               bool            // Begins a transaction.
	ReadOnly            bool            // The only statement begins a read-only transaction.
	End                 bool            // Commits, rolls back or prepares a transaction.
	Chain               bool            // Ends a transaction and begins another one at once.
	Rollback            bool            // The only statement rolls back the whole transaction.
	Savepoint           bool            // Rolls back to a savepoint.
	CreatesSessionState bool            // Creates session state on the connection.
	ProxyStatement      *ProxyStatement // The only statement, if the proxy responds to it itself.
	Mixed               bool            // Several statements, one of which sets, resets or shows a proxy setting.
	Tags                Tags            // Command tags with which a server may complete the statements.
	Uncertain           bool            // A server may count the statements differently, see [Classify].
	Hints               []byte          // Content of a leading comment after "oleanderpulley:".
}

// Verb is the kind of a [ProxyStatement].
type Verb uint8

// The verbs. Set stands for SET and RESET, Deallocate for DEALLOCATE and
// DISCARD ALL, which drop prepared statements.
const (
	Set Verb = iota
	Show
	Deallocate
)

// ProxyStatement is a statement that the proxy responds to itself, instead of a
// backend server.
type ProxyStatement struct {
	Verb  Verb
	Name  string // Setting without its prefix, or prepared statement; empty for all.
	Value string // Empty for DEFAULT and RESET.
	Tag   string // Command tag of the response.
	// Malformed reports a value that is not one constant that the proxy can read.
	Malformed bool
}

// Classify classifies the statements of sql. It allocates only for statements that
// the proxy responds to itself. Their number is uncertain if the text has a
// backslash, whose meaning in a string constant depends on a setting of the
// connection, or the body of a function.
func Classify(sql []byte) Summary {
	var s Summary
	lex := lexer{sql: sql}
	s.Uncertain = bytes.IndexByte(sql, '\\') >= 0
	for {
		t := lex.next()
		if t.kind == tokenEnd {
			break
		}
		if t.is(";") {
			continue
		}
		s.Count++
		s.Tags |= tagsOf(t)
		// A later statement must not overwrite ProxyStatement without a trace
		// if it is a proxy setting.
		s.Mixed = s.Mixed || s.ProxyStatement != nil && s.ProxyStatement.Verb != Deallocate
		st := statementParser{lexer: &lex, summary: &s}
		st.classify(t)
	}
	if s.Count > 1 {
		s.Mixed = s.Mixed || s.ProxyStatement != nil && s.ProxyStatement.Verb != Deallocate
		s.ProxyStatement, s.ReadOnly, s.Rollback = nil, false, false
	}
	s.Hints = proxyHints(lex.comment)
	return s
}

// proxyHints returns the hints of a comment, or nil if it is not addressed to the
// proxy.
func proxyHints(comment []byte) []byte {
	text, found := bytes.CutPrefix(trimSpace(comment), []byte("oleanderpulley:"))
	if !found {
		return nil
	}
	return text
}

// NextHint splits hints after the first "name=value" pair. The name is empty if
// there are no more hints.
func NextHint(hints []byte) (name, value string, rest []byte) {
	hint, rest, _ := bytes.Cut(hints, []byte(","))
	n, v, _ := bytes.Cut(hint, []byte("="))
	return string(trimSpace(n)), string(trimSpace(v)), rest
}

// trimSpace removes the white space of SQL, which does not include that of Unicode.
func trimSpace(b []byte) []byte { return bytes.Trim(b, " \t\n\r\f\v") }

// is reports whether the token is the given unquoted word, in any case, or the
// given punctuation.
func (t token) is(word string) bool {
	return (t.kind == tokenWord || t.kind == tokenOther) && len(t.text) == len(word) &&
		bytes.EqualFold(t.text, []byte(word))
}

func (t token) isAnyOf(words ...string) bool {
	for _, w := range words {
		if t.is(w) {
			return true
		}
	}
	return false
}
