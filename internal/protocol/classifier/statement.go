package classifier

import (
	"bytes"
	"strings"
)

// statementParser adds the classification of one statement to a Summary.
type statementParser struct {
	lexer   *lexer
	summary *Summary
	current token
}

func (st *statementParser) next() token {
	st.current = st.lexer.next()
	return st.current
}

// raiseClass raises the class of the summary to c if it is lower.
func (st *statementParser) raiseClass(c Class) { st.summary.Class = max(st.summary.Class, c) }

// classify classifies one statement and reads it up to its semicolon.
func (st *statementParser) classify(first token) {
	st.current = first
	switch {
	case first.isAnyOf("select", "with", "values", "table", "("):
		st.classifyQuery(false)
	case first.isAnyOf("insert", "update", "delete", "merge"):
		st.raiseClass(Write)
		st.detectStatefulCalls()
	case first.is("explain"):
		st.classifyExplain()
	case first.is("copy"):
		st.copy()
	case first.isAnyOf("begin", "start"):
		st.classifyBegin()
	case first.isAnyOf("commit", "end", "rollback", "abort", "prepare"):
		st.classifyEnd(first)
	case first.isAnyOf("savepoint", "release", "fetch", "move", "close"):
		st.raiseClass(Read)
	case first.isAnyOf("set", "reset", "show", "discard", "deallocate"):
		st.classifySettings(first)
	case first.isAnyOf("listen", "unlisten", "execute", "load"):
		st.raiseClass(Write)
		st.summary.CreatesSessionState = true
	case first.is("declare"):
		st.classifyDeclare()
	case first.is("create"):
		st.classifyCreate()
	default:
		st.raiseClass(Write)
	}
	st.skipToEnd()
}

// skipToEnd reads to the end of the statement.
func (st *statementParser) skipToEnd() {
	for st.current.kind != tokenEnd && !st.current.is(";") {
		st.next()
	}
}

// classifyQuery classifies a query as a read, or as a write if it contains INTO, a
// data-modifying statement, a locking clause or a call that is not known to be
// read-only. It starts after the first keyword. qualified says whether that
// keyword is qualified with a schema other than pg_catalog.
func (st *statementParser) classifyQuery(qualified bool) {
	st.raiseClass(Read)
	beforePrevious, previous := token{}, st.current
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		switch {
		case t.is("("):
			st.classifyCall(previous, qualified)
		case t.isAnyOf("into", "insert", "update", "delete", "merge"), previous.is("for") && t.isAnyOf("share", "no", "key"):
			st.raiseClass(Write)
		}
		qualified = previous.is(".") && !beforePrevious.is("pg_catalog")
		beforePrevious, previous = previous, t
	}
}

// classifyCall classifies a possible function call from the token before its
// opening parenthesis. Quoted names, and names qualified with a schema other than
// pg_catalog, may be functions of users.
func (st *statementParser) classifyCall(previous token, qualified bool) {
	isName := previous.kind == tokenWord || previous.kind == tokenQuoted
	isKnown := previous.kind == tokenWord && !qualified && isReadOnlyWord(previous.text)
	if !isName || isKnown {
		return
	}
	st.raiseClass(Write)
	st.detectSessionState(previous)
}

// detectStatefulCalls looks for calls that create session state in the rest of a
// statement that writes.
func (st *statementParser) detectStatefulCalls() {
	previous := st.current
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		if t.is("(") {
			st.detectSessionState(previous)
		}
		previous = t
	}
}

// detectSessionState records whether a function of this name leaves state on the
// connection, in whatever schema it is.
func (st *statementParser) detectSessionState(name token) {
	if createsSessionState(bytes.Trim(name.text, `"`)) {
		st.summary.CreatesSessionState = true
	}
}

// createsSessionState reports whether a function with this prefix leaves state on
// the connection: session advisory locks, set_config, setseed and dblink_connect.
// Sequence functions are not included, although currval depends on the connection.
func createsSessionState(name []byte) bool {
	for _, prefix := range [...]string{"pg_advisory_lock", "pg_try_advisory_lock", "pg_advisory_unlock", "set_config",
		"setseed", "dblink_connect"} {
		if len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], []byte(prefix)) {
			return true
		}
	}
	return false
}

// classifyExplain gives EXPLAIN the class of the explained statement, because
// EXPLAIN ANALYZE executes it.
func (st *statementParser) classifyExplain() {
	st.raiseClass(Read)
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		if t.isAnyOf("select", "with", "values", "table") {
			st.classifyQuery(false)
			return
		}
		if t.isAnyOf("insert", "update", "delete", "merge", "create", "execute", "declare", "refresh") {
			st.raiseClass(Write)
			st.summary.CreatesSessionState = st.summary.CreatesSessionState || t.is("execute")
			return
		}
	}
}

// copy classifies COPY ... TO STDOUT as a read, unless its query writes, and
// any other COPY as a write.
func (st *statementParser) copy() {
	st.raiseClass(Read)
	previous, stdout := st.current, false
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		switch {
		case previous.is("to") && t.is("stdout"):
			stdout = true
		case t.is("(") && previous.kind == tokenWord && !isReadOnlyWord(previous.text) && !previous.is("copy"):
			// A column list cannot be told apart from a call. Classifying it as a
			// write is safe, because the primary executes both.
			st.raiseClass(Write)
		case t.isAnyOf("insert", "update", "delete", "merge", "into"):
			st.raiseClass(Write)
		}
		previous = t
	}
	if !stdout {
		st.raiseClass(Write)
	}
}

// classifyBegin classifies BEGIN and START TRANSACTION with their modes.
func (st *statementParser) classifyBegin() {
	s := st.summary
	s.Begin = true
	st.raiseClass(Read)
	s.ReadOnly = false
	previous := st.current
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		if previous.is("read") {
			s.ReadOnly = t.is("only")
		}
		previous = t
	}
}

// classifyEnd classifies COMMIT, END, ROLLBACK, ABORT and PREPARE, including
// PREPARE of a statement.
func (st *statementParser) classifyEnd(first token) {
	s, second := st.summary, st.next()
	if first.is("prepare") && !second.is("transaction") {
		st.raiseClass(Write)
		s.CreatesSessionState = true
		return
	}
	st.raiseClass(Read)
	previous, chain := first, false
	for t := second; t.kind != tokenEnd && !t.is(";"); t = st.next() {
		if first.is("rollback") && t.is("to") {
			s.Savepoint = true
			return
		}
		chain = t.is("chain") && !previous.is("no")
		previous = t
	}
	if second.is("prepared") {
		st.raiseClass(Write)
		return
	}
	s.End = true
	s.Chain = s.Chain || chain
	s.Rollback = first.isAnyOf("rollback", "abort")
}

// classifyDeclare classifies DECLARE of a cursor. A cursor WITH HOLD outlives its
// transaction and is session state.
func (st *statementParser) classifyDeclare() {
	st.raiseClass(Read)
	previous := st.current
	for t := st.next(); t.kind != tokenEnd && !t.is(";"); t = st.next() {
		if previous.is("with") && t.is("hold") {
			st.summary.CreatesSessionState = true
		}
		if t.isAnyOf("select", "values", "table") {
			st.classifyQuery(false)
			return
		}
		previous = t
	}
}

// classifyCreate classifies CREATE as a write. Temporary objects are session
// state.
func (st *statementParser) classifyCreate() {
	st.raiseClass(Write)
	for t := st.next(); t.kind == tokenWord && !t.isAnyOf("table", "view", "sequence", "function", "procedure"); t = st.next() {
		if t.isAnyOf("temp", "temporary") {
			st.summary.CreatesSessionState = true
		}
	}
	st.skipBody()
}

// skipBody skips the body "BEGIN ATOMIC ... END" of a function, whose semicolons
// do not end the statement. It stops at the end of a statement without a body.
func (st *statementParser) skipBody() {
	depth := 0
	previous := st.current
	for t := st.current; t.kind != tokenEnd && (depth > 0 || !t.is(";")); t = st.next() {
		switch {
		case previous.is("begin") && t.is("atomic"), depth > 0 && t.is("case"):
			depth++
			st.summary.Uncertain = true
		case depth > 0 && t.is("end"):
			depth--
		}
		previous = t
	}
}

// classifySettings classifies SET, RESET, SHOW, DISCARD and DEALLOCATE.
func (st *statementParser) classifySettings(first token) {
	s, second := st.summary, st.next()
	st.raiseClass(Read)
	local := second.is("local")
	if first.is("set") && second.isAnyOf("session", "local") {
		if third := st.next(); unquoteIdentifier(third) == "oleanderpulley" {
			second = third
		}
	}
	switch {
	case first.is("deallocate"), first.is("discard") && second.is("all"):
		if second.is("prepare") {
			second = st.next()
		}
		s.ProxyStatement = &ProxyStatement{Verb: Deallocate, Tag: strings.ToUpper(string(first.text))}
		if !second.is("all") {
			s.ProxyStatement.Name = unquoteIdentifier(second)
		} else {
			s.ProxyStatement.Tag += " ALL"
		}
		s.CreatesSessionState = true
	case unquoteIdentifier(second) == "oleanderpulley":
		st.parseProxySetting(first)
		if local {
			s.ProxyStatement.Name = "local " + s.ProxyStatement.Name // No setting has this name: settings are not bound to transactions.
		}
	case first.is("set") && second.isAnyOf("local", "transaction", "constraints"), first.is("show"):
	default:
		s.CreatesSessionState = true
	}
}

// parseProxySetting parses SET, RESET or SHOW of a proxy setting from the dot after
// its prefix.
func (st *statementParser) parseProxySetting(first token) {
	own := &ProxyStatement{Tag: strings.ToUpper(string(first.text))}
	st.next()
	own.Name = unquoteIdentifier(st.next())
	if first.is("show") {
		own.Verb = Show
	}
	if first.is("set") {
		st.next()
		value, ok := st.settingValue()
		own.Value, own.Malformed = value, !ok
	}
	st.summary.ProxyStatement = own
}

// settingValue reads the value of a setting: one constant or name, or other text
// without string constants. The value DEFAULT is empty.
func (st *statementParser) settingValue() (value string, ok bool) {
	first := st.next()
	start, end, count, hasString := st.lexer.pos-len(first.text), 0, 0, false
	for t := first; t.kind != tokenEnd && !t.is(";"); t = st.next() {
		end, count = st.lexer.pos, count+1
		hasString = hasString || t.kind == tokenString
	}
	switch {
	case count == 0, count > 1 && hasString:
		return "", false
	case count > 1:
		return string(st.lexer.sql[start:end]), true
	case first.kind == tokenString:
		return decodeString(first.text)
	case first.kind == tokenQuoted:
		return unquoteIdentifier(first), true
	case first.is("default"):
		return "", true
	}
	return string(first.text), true
}

// unquoteIdentifier returns the name of an identifier: a quoted one without its
// quotes, another one in lower case. Like PostgreSQL, it changes the case of ASCII
// letters alone.
func unquoteIdentifier(t token) string {
	if t.kind == tokenQuoted {
		return strings.ReplaceAll(string(bytes.TrimSuffix(t.text[1:], []byte(`"`))), `""`, `"`)
	}
	lower := []byte(string(t.text))
	for i, c := range lower {
		if c >= 'A' && c <= 'Z' {
			lower[i] = c + 'a' - 'A'
		}
	}
	return string(lower)
}
