package backendserver

import (
	"regexp"
	"slices"
	"strings"
)

// simpleIdentifier matches identifiers that need no quotes.
var simpleIdentifier = regexp.MustCompile(`^[a-z_][a-z0-9_$]*$`)

// parser parses tokens. On the first syntax error it panics with a *sqlError,
// which parse recovers.
type parser struct {
	tokens []token
	next   int
}

// parse returns the statements in an SQL text. The list is empty if there are
// none.
func parse(sql string) (list []*statement, err error) {
	tokens, err := scan(sql)
	if err != nil {
		return nil, err
	}
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(*sqlError)
			if !ok {
				panic(r)
			}
			list, err = nil, e
		}
	}()
	p := &parser{tokens: tokens}
	for {
		for p.accept(";") {
		}
		if p.peek().kind == endToken {
			return list, nil
		}
		start, end := p.peek().offset, len(sql)
		if len(list) == 0 {
			start = 0 // Include leading comments in the first statement.
		}
		st := p.statement()
		if p.peek().kind != endToken {
			end = p.peek().offset
			p.expect(";")
		}
		st.sql = sql[start:end]
		list = append(list, st)
	}
}

// peek returns the next token without consuming it, or an endToken at the end.
func (p *parser) peek() token {
	if p.next >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.next]
}

// accept consumes the next tokens and returns true if they are the given words
// or symbols.
func (p *parser) accept(words ...string) bool {
	for i, w := range words {
		if p.next+i >= len(p.tokens) {
			return false
		}
		t := p.tokens[p.next+i]
		if t.text != w || t.kind != wordToken && t.kind != symbolToken {
			return false
		}
	}
	p.next += len(words)
	return true
}

// expect consumes the given words or symbols and fails on any other token.
func (p *parser) expect(words ...string) {
	if !p.accept(words...) {
		p.failSyntax()
	}
}

func (p *parser) failSyntax() {
	panic(sqlErrorf("42601", "syntax error at or near %.40q", p.peek().text))
}

func (p *parser) identifier() string {
	t := p.peek()
	if t.kind != wordToken && t.kind != quotedToken {
		p.failSyntax()
	}
	p.next++
	return t.text
}

// qualifiedName parses a name with dots, such as that of a custom setting or of
// a table with its schema.
func (p *parser) qualifiedName() string {
	name := p.identifier()
	for p.accept(".") {
		name += "." + p.identifier()
	}
	return name
}

func (p *parser) tableName() string { return strings.TrimPrefix(p.qualifiedName(), "public.") }

func (p *parser) nameList() []string {
	var nameList []string
	p.expect("(")
	for {
		nameList = append(nameList, p.identifier())
		if !p.accept(",") {
			break
		}
	}
	p.expect(")")
	return nameList
}

func (p *parser) typeName() uint32 {
	name := p.identifier()
	oid, ok := typeOID(name)
	if !ok {
		panic(sqlErrorf("42704", "type %q does not exist", name))
	}
	for _, suffix := range []string{"precision", "varying"} {
		p.accept(suffix)
	}
	return oid
}

// remainingWords consumes the rest of the statement and returns its words.
func (p *parser) remainingWords() []string {
	var words []string
	for t := p.peek(); t.kind != endToken && (t.kind != symbolToken || t.text != ";"); t = p.peek() {
		words = append(words, t.text)
		p.next++
	}
	return words
}

// settingValue consumes the value of SET.
func (p *parser) settingValue(name string) string {
	if name == "search_path" {
		return strings.Join(p.quotedList(), ", ")
	}
	return strings.Join(p.remainingWords(), "")
}

// quotedList consumes a list of names or string constants, and returns each as an
// identifier. SET treats every value of a list setting as one element of the list.
func (p *parser) quotedList() []string {
	var list []string
	for {
		t := p.peek()
		p.next++
		if t.kind != wordToken && t.kind != quotedToken && t.kind != stringToken {
			p.failSyntax()
		}
		if !simpleIdentifier.MatchString(t.text) {
			t.text = `"` + strings.ReplaceAll(t.text, `"`, `""`) + `"`
		}
		list = append(list, t.text)
		if !p.accept(",") {
			return list
		}
	}
}

func (p *parser) statement() *statement {
	st := &statement{verb: p.identifier()}
	switch st.verb {
	case "select":
		p.selectStatement(st)
	case "insert":
		p.insertStatement(st)
	case "update":
		st.table = p.tableName()
		p.expect("set")
		for {
			a := assignment{column: p.identifier()}
			p.expect("=")
			a.expr = p.expr()
			st.assignments = append(st.assignments, a)
			if !p.accept(",") {
				break
			}
		}
		p.whereClause(st)
		p.returningClause(st)
	case "delete":
		p.expect("from")
		st.table = p.tableName()
		p.whereClause(st)
		p.returningClause(st)
	case "create":
		p.createStatement(st)
	case "copy":
		p.copyStatement(st)
	default:
		p.controlStatement(st)
	}
	return st
}

// controlStatement parses statements that control transactions, settings or the
// connection.
func (p *parser) controlStatement(st *statement) {
	switch st.verb {
	case "begin", "start", "commit", "end", "rollback", "abort":
		words := p.remainingWords()
		st.readOnly = strings.Contains(strings.Join(words, " "), "read only")
		switch st.verb {
		case "start":
			st.verb = "begin"
		case "end":
			st.verb = "commit"
		case "abort":
			st.verb = "rollback"
		}
		if slices.Contains(words, "prepared") || slices.Contains(words, "to") {
			panic(sqlErrorf("0A000", "savepoints and prepared transactions are not supported"))
		}
	case "set":
		st.local = p.accept("local")
		if !st.local {
			p.accept("session")
		}
		st.name = p.qualifiedName()
		if !p.accept("=") && !p.accept("to") {
			p.failSyntax()
		}
		st.value = p.settingValue(st.name)
	case "show", "reset":
		st.name = p.qualifiedName()
	case "discard":
		p.expect("all")
	case "deallocate":
		p.accept("prepare")
		st.name = p.identifier()
	case "prepare":
		st.name = p.identifier()
		if p.accept("(") {
			for !p.accept(")") {
				st.types = append(st.types, p.typeName())
				p.accept(",")
			}
		}
		p.expect("as")
		st.body = p.statement()
	case "execute":
		st.name = p.identifier()
		if p.accept("(") {
			st.args = p.exprList(")")
		}
	case "listen", "unlisten", "notify":
		p.remainingWords()
	default:
		panic(sqlErrorf("42601", "syntax error at or near %.40q", st.verb))
	}
}
