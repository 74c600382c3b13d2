package backendserver

import "slices"

// statement is one parsed statement. Verb is its first keyword in lower case,
// with synonyms such as END replaced.
type statement struct {
	verb        string
	sql         string
	table       string
	def         tableDef
	columns     []string
	rows        [][]expr
	outputs     []output
	where       []condition
	assignments []assignment
	orderBy     string
	descending  bool
	limit       *expr
	forUpdate   bool
	readOnly    bool
	local       bool
	ifNotExists bool
	toStdout    bool
	binary      bool
	name        string     // of a setting or prepared statement
	body        *statement // of PREPARE
	types       []uint32   // of PREPARE
	args        []expr     // of EXECUTE
	value       string
}

// output is an expression in a SELECT or RETURNING list.
type output struct {
	expr  expr
	alias string
}

type condition struct {
	column string
	op     string
	expr   expr
}

type assignment struct {
	column string
	expr   expr
}

type exprKind byte

const (
	literalExpr exprKind = iota
	paramExpr
	columnExpr
	callExpr
	sumExpr // args[0] op args[1]
	starExpr
)

type expr struct {
	kind  exprKind
	value value
	oid   uint32 // of a literal or cast; 0 if not declared
	name  string // of a column, function or operator
	param int    // parameter number, from 1
	args  []expr
}

func (p *parser) selectStatement(st *statement) {
	st.outputs = p.itemList()
	if p.accept("from") {
		st.table = p.tableName()
		if p.accept("(", ")") {
			st.table += "()"
		}
		p.whereClause(st)
	}
	if p.accept("order", "by") {
		st.orderBy = p.identifier()
		st.descending = p.accept("desc")
		p.accept("asc")
	}
	if p.accept("limit") {
		e := p.expr()
		st.limit = &e
	}
	st.forUpdate = p.accept("for", "update")
}

func (p *parser) itemList() []output {
	var items []output
	for {
		it := output{expr: p.expr()}
		if p.accept("as") {
			it.alias = p.identifier()
		}
		items = append(items, it)
		if !p.accept(",") {
			return items
		}
	}
}

func (p *parser) returningClause(st *statement) {
	if p.accept("returning") {
		st.outputs = p.itemList()
	}
}

func (p *parser) whereClause(st *statement) {
	if !p.accept("where") {
		return
	}
	for {
		c := condition{column: p.identifier(), op: p.peek().text}
		if !slices.Contains([]string{"=", "<>", "!=", "<", "<=", ">", ">="}, c.op) {
			p.failSyntax()
		}
		p.next++
		c.expr = p.expr()
		st.where = append(st.where, c)
		if !p.accept("and") {
			return
		}
	}
}

func (p *parser) insertStatement(st *statement) {
	p.expect("into")
	st.table = p.tableName()
	if p.peek().text == "(" {
		st.columns = p.nameList()
	}
	p.expect("values")
	for {
		p.expect("(")
		st.rows = append(st.rows, p.exprList(")"))
		if !p.accept(",") {
			break
		}
	}
	p.returningClause(st)
}

func (p *parser) exprList(end string) []expr {
	var exprList []expr
	for !p.accept(end) {
		if len(exprList) > 0 {
			p.expect(",")
		}
		exprList = append(exprList, p.expr())
	}
	return exprList
}

func (p *parser) createStatement(st *statement) {
	p.expect("table")
	st.ifNotExists = p.accept("if", "not", "exists")
	st.table = p.tableName()
	st.def.Name = st.table
	p.expect("(")
	for {
		if p.accept("primary", "key") || p.accept("unique") {
			for _, name := range p.nameList() {
				i, err := st.def.columnIndex(name)
				if err != nil {
					panic(err)
				}
				st.def.Key = append(st.def.Key, i)
			}
		} else {
			c := column{Name: p.identifier(), OID: p.typeName()}
			c.NotNull = p.accept("not", "null")
			if p.accept("primary", "key") {
				st.def.Key = append(st.def.Key, len(st.def.Columns))
			}
			st.def.Columns = append(st.def.Columns, c)
		}
		if !p.accept(",") {
			break
		}
	}
	p.expect(")")
	if len(st.def.Key) == 0 {
		st.def.Key = []int{0}
	}
}

func (p *parser) copyStatement(st *statement) {
	st.table = p.tableName()
	if p.peek().text == "(" {
		st.columns = p.nameList()
	}
	if p.accept("to") {
		p.expect("stdout")
		st.toStdout = true
	} else {
		p.expect("from", "stdin")
	}
	st.binary = slices.Contains(p.remainingWords(), "binary")
}
