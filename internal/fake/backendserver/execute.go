package backendserver

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// result is the result of a statement. Columns is nil for a statement that
// returns no rows.
type result struct {
	columns []column
	rows    [][]value
	tag     string
	copied  bool // COPY has already sent the rows
}

// runStatement records and executes one statement. Simple reports whether it
// came in the simple protocol.
func (ss *session) runStatement(st *statement, args []value, types []uint32, simple bool) (*result, error) {
	if ss.blockFailed && !endsBlock(st) {
		return nil, errFailedBlock
	}
	ctx, done := ss.statementContext()
	defer done()
	s := ss.server
	s.mu.Lock()
	slow := time.Duration(s.faults.SlowMS) * time.Millisecond
	s.mu.Unlock()
	if slow > 0 {
		if err := waitUpTo(ctx, slow, nil); err != nil {
			return nil, context.Cause(ctx)
		}
	}
	if st.isAdministrative() {
		return ss.runAdministrative(ctx, st, args)
	}
	r := s.addRecord(ss, st.sql, args)
	var tx *transaction
	if !endsBlock(st) {
		tx = ss.ensureTransaction()
	} else if tx = ss.tx; tx == nil {
		tx = &transaction{}
	}
	tx.records = append(tx.records, r)
	res, err := ss.executeStatement(ctx, &execution{ss: ss, st: st, args: args, types: types, tx: tx}, simple)
	var e *sqlError
	if errors.As(err, &e) {
		s.mu.Lock()
		r.SQLState = e.code
		s.mu.Unlock()
	}
	return res, err
}

// executeStatement executes a recorded statement. Data statements hold a slot
// while they run, control statements do not.
func (ss *session) executeStatement(ctx context.Context, x *execution, simple bool) (*result, error) {
	switch x.st.verb {
	case "select", "insert", "update", "delete", "create", "copy":
	case "execute":
		if err := x.expandExecute(); err != nil {
			return nil, err
		}
		return ss.executeStatement(ctx, x, simple)
	default:
		return ss.runControl(x.st)
	}
	sleep, err := x.sleepTime()
	if err != nil {
		return nil, err
	}
	if err := ss.occupySlot(ctx, sleep); err != nil {
		return nil, err
	}
	if err := x.resolveTable(); err != nil {
		return nil, err
	}
	switch x.st.verb {
	case "select":
		return x.runSelect(ctx)
	case "insert":
		return x.runInsert(ctx)
	case "create":
		return x.runCreateTable(ctx)
	case "copy":
		if !simple {
			return nil, sqlErrorf("0A000", "COPY needs the simple protocol")
		}
		return x.runCopy(ctx)
	}
	return x.runUpdateOrDelete(ctx)
}

// expandExecute replaces an EXECUTE statement by the prepared statement that it
// names.
func (x *execution) expandExecute() error {
	p := x.ss.prepared[x.st.name]
	if p == nil || p.statement == nil {
		return sqlErrorf("26000", "prepared statement %q does not exist", x.st.name)
	}
	if len(p.types) != len(x.st.args) {
		return sqlErrorf("42601", "wrong number of parameters for prepared statement %q", x.st.name)
	}
	var args []value
	for i, e := range x.st.args {
		v, err := x.eval(e, nil)
		if err == nil {
			v, err = canonical(v, p.types[i])
		}
		if err != nil {
			return err
		}
		args = append(args, v)
	}
	x.st, x.args, x.types = p.statement, args, p.types
	return nil
}

// execution is one execution of a data statement.
type execution struct {
	ss            *session
	st            *statement
	args          []value
	types         []uint32 // types of args
	tx            *transaction
	def           *tableDef // nil for a statement without a table
	resultColumns []column
}

// resolveTable finds the table and the result columns of the statement. It
// refuses a write on a replica or in a read-only transaction.
func (x *execution) resolveTable() (err error) {
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.st.verb != "select" && !x.st.toStdout || x.st.forUpdate {
		switch {
		case s.member.role != RolePrimary:
			return sqlErrorf("25006", "cannot execute %s in a read-only transaction: member is a replica", strings.ToUpper(x.st.verb))
		case x.tx.readOnly:
			return sqlErrorf("25006", "cannot execute %s in a read-only transaction", strings.ToUpper(x.st.verb))
		}
	}
	if x.st.table != "" && x.st.verb != "create" {
		var e *sqlError
		if x.def, e = s.member.store.tableDef(x.tx, x.st.table); e != nil {
			return e
		}
	}
	if _, x.resultColumns, err = s.describe(x.tx, x.st, x.types); err != nil {
		return err
	}
	return nil
}

func (x *execution) store() *store { return x.ss.server.member.store }

func (x *execution) runSelect(ctx context.Context) (*result, error) {
	res := &result{columns: x.resultColumns}
	if x.def == nil {
		if err := x.project(res, nil); err != nil {
			return nil, err
		}
		res.tag = "SELECT 1"
		return res, x.runAdvisoryLocks(ctx, res)
	}
	keys, err := x.matchingKeys()
	if err != nil {
		return nil, err
	}
	if x.st.forUpdate {
		for _, key := range keys {
			if err := x.ss.acquireLock(ctx, x.tx, x.def.Name+"\x00"+key); err != nil {
				return nil, err
			}
		}
		if keys, err = x.matchingKeys(); err != nil {
			return nil, err
		}
	}
	rows, err := x.orderedRows(keys)
	if err != nil {
		return nil, err
	}
	if len(x.st.outputs) == 1 && x.st.outputs[0].expr.isCount() {
		res.rows = [][]value{{numberValue(len(rows))}}
	} else {
		for _, row := range rows {
			if err := x.project(res, row); err != nil {
				return nil, err
			}
		}
	}
	res.tag = fmt.Sprintf("SELECT %d", len(res.rows))
	return res, nil
}

// orderedRows returns the visible rows with the keys, sorted and limited by
// ORDER BY and LIMIT.
func (x *execution) orderedRows(keys []string) ([][]value, error) {
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	var orderedRows [][]value
	for _, key := range keys {
		if row := x.store().row(x.tx, x.def.Name, key); row != nil {
			orderedRows = append(orderedRows, row)
		}
	}
	if x.st.orderBy != "" {
		i, e := x.def.columnIndex(x.st.orderBy)
		if e != nil {
			return nil, e
		}
		sort.SliceStable(orderedRows, func(a, b int) bool {
			n := compareValues(orderedRows[a][i], orderedRows[b][i], x.def.Columns[i].OID)
			return n < 0 != x.st.descending && n != 0
		})
	}
	if x.st.limit == nil {
		return orderedRows, nil
	}
	limit, err := x.evalInteger(*x.st.limit)
	if err != nil || limit < 0 {
		return nil, sqlErrorf("2201W", "LIMIT must be a number that is not negative")
	}
	return orderedRows[:min(limit, int64(len(orderedRows)))], nil
}

// project evaluates the SELECT or RETURNING list for a row and appends the
// values to the result.
func (x *execution) project(res *result, row []value) error {
	if len(x.st.outputs) == 0 {
		return nil
	}
	var out []value
	for _, it := range x.st.outputs {
		if it.expr.kind == starExpr {
			out = append(out, row...)
			continue
		}
		v, err := x.eval(it.expr, row)
		if err != nil {
			return err
		}
		out = append(out, v)
	}
	for i, v := range out {
		var err error
		if out[i], err = canonical(v, x.resultColumns[i].OID); err != nil {
			return err
		}
	}
	res.rows = append(res.rows, out)
	return nil
}

// sleepTime returns the total time of the pg_sleep calls, during which the
// statement holds its slot.
func (x *execution) sleepTime() (time.Duration, error) {
	var total time.Duration
	for _, it := range x.st.outputs {
		if it.expr.kind != callExpr || it.expr.name != "pg_sleep" || len(it.expr.args) != 1 {
			continue
		}
		v, err := x.eval(it.expr.args[0], nil)
		if err != nil || v == nil {
			return 0, err
		}
		seconds, err := strconv.ParseFloat(*v, 64)
		if err != nil {
			return 0, sqlErrorf("22P02", "invalid number %.20q", *v)
		}
		total += time.Duration(seconds * float64(time.Second))
	}
	return total, nil
}
