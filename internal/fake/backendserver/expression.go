package backendserver

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// expr parses a sum or difference of terms.
func (p *parser) expr() expr {
	e := p.term()
	for t := p.peek(); t.kind == symbolToken && (t.text == "+" || t.text == "-"); t = p.peek() {
		p.next++
		e = expr{kind: sumExpr, name: t.text, args: []expr{e, p.term()}}
	}
	return e
}

// term parses a literal, parameter, column, function call or expression in
// parentheses, with any casts.
func (p *parser) term() expr {
	t := p.peek()
	e := expr{}
	switch {
	case p.accept("*"):
		return expr{kind: starExpr}
	case p.accept("("):
		e = p.expr()
		p.expect(")")
	case p.accept("-"):
		e = p.term()
		if e.kind != literalExpr || e.value == nil {
			p.failSyntax()
		}
		e.value = textValue("-" + *e.value)
	case p.accept("null"):
	case p.accept("true"), p.accept("false"):
		e.value, e.oid = textValue(t.text[:1]), pgtype.BoolOID
	case t.kind == stringToken:
		p.next++
		e.value = textValue(t.text)
	case t.kind == numberToken:
		p.next++
		e.value, e.oid = textValue(t.text), numberType(t.text)
	case t.kind == paramToken:
		p.next++
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > 65535 {
			panic(sqlErrorf("42P02", "there is no parameter $%.10s", t.text))
		}
		e.kind, e.param = paramExpr, n
	default:
		e.kind, e.name = columnExpr, p.qualifiedName()
		if p.accept("(") {
			e.kind, e.args = callExpr, p.exprList(")")
		}
	}
	for p.accept("::") {
		e.oid = p.typeName()
	}
	return e
}

// numberType returns the type of a numeric literal.
func numberType(s string) uint32 {
	if strings.Contains(s, ".") {
		return pgtype.Float8OID
	}
	if _, err := strconv.ParseInt(s, 10, 32); err != nil {
		return pgtype.Int8OID
	}
	return pgtype.Int4OID
}
