package backendserver

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// eval evaluates an expression for a row, which is nil where no columns are
// available.
func (x *execution) eval(e expr, row []value) (value, error) {
	var v value
	switch e.kind {
	case literalExpr:
		v = e.value
	case paramExpr:
		if e.param > len(x.args) {
			return nil, sqlErrorf("42P02", "there is no parameter $%d", e.param)
		}
		v = x.args[e.param-1]
	case columnExpr:
		if x.def == nil || row == nil {
			return nil, sqlErrorf("42703", "column %q does not exist", e.name)
		}
		i, err := x.def.columnIndex(e.name[strings.LastIndexByte(e.name, '.')+1:])
		if err != nil {
			return nil, err
		}
		v = row[i]
	case sumExpr:
		a, err := x.eval(e.args[0], row)
		if err != nil {
			return nil, err
		}
		b, err := x.eval(e.args[1], row)
		if err != nil || a == nil || b == nil {
			return nil, err
		}
		return sum(*a, *b, e.name)
	case callExpr:
		return x.call(e)
	case starExpr:
		return nil, sqlErrorf("42601", "syntax error at or near \"*\"")
	}
	if e.oid != 0 {
		return canonical(v, e.oid)
	}
	return v, nil
}

// sum adds or subtracts two numbers, as integers if both are integers.
func sum(a, b, op string) (value, error) {
	m, err1 := strconv.ParseInt(a, 10, 64)
	n, err2 := strconv.ParseInt(b, 10, 64)
	if err1 == nil && err2 == nil {
		if op == "-" {
			n = -n
		}
		return numberValue(m + n), nil
	}
	f, err1 := strconv.ParseFloat(a, 64)
	g, err2 := strconv.ParseFloat(b, 64)
	if err1 != nil || err2 != nil {
		return nil, sqlErrorf("42883", "operator %s needs numbers", op)
	}
	if op == "-" {
		g = -g
	}
	return textValue(strconv.FormatFloat(f+g, 'g', -1, 64)), nil
}

// evalInteger evaluates an expression that must be an integer.
func (x *execution) evalInteger(e expr) (int64, error) {
	v, err := x.eval(e, nil)
	if err != nil {
		return 0, err
	}
	if v == nil {
		return 0, sqlErrorf("22004", "null value not allowed")
	}
	n, err := strconv.ParseInt(*v, 10, 64)
	if err != nil {
		return 0, sqlErrorf("22P02", "invalid input syntax for type bigint: %.40q", *v)
	}
	return n, nil
}

// call evaluates a function call. For the advisory lock functions it only
// returns the initial result, because runAdvisoryLocks executes them.
func (x *execution) call(e expr) (value, error) {
	s := x.ss.server
	switch e.name {
	case "pg_sleep", "pg_advisory_lock", "pg_advisory_unlock_all":
		return textValue(""), nil
	case "pg_try_advisory_lock", "pg_advisory_unlock":
		return textValue("f"), nil
	case "version":
		return textValue("PostgreSQL 17.0 (oleanderpulley stand-in)"), nil
	case "pg_backend_pid":
		return numberValue(x.ss.pid), nil
	case "pg_is_in_recovery":
		return textValue(map[bool]string{true: "t", false: "f"}[s.Status().Role == RoleReplica]), nil
	case "set_config":
		return x.setConfig(e)
	case "current_setting":
		if len(e.args) == 0 {
			break
		}
		name, err := x.eval(e.args[0], nil)
		if err != nil || name == nil {
			return nil, err
		}
		if v, ok := x.ss.settings[strings.ToLower(*name)]; ok {
			return textValue(v), nil
		}
		if len(e.args) > 1 {
			return nil, nil
		}
		return nil, sqlErrorf("42704", "unrecognized configuration parameter %q", *name)
	}
	return nil, sqlErrorf("42883", "function %s does not exist", e.name)
}

// setConfig sets a setting to exactly the given text and returns it.
func (x *execution) setConfig(e expr) (value, error) {
	var args []string
	for _, a := range e.args {
		v, err := x.eval(a, nil)
		if err != nil {
			return nil, err
		}
		if v == nil {
			return nil, sqlErrorf("22004", "null value not allowed")
		}
		args = append(args, *v)
	}
	if len(args) != 3 {
		return nil, sqlErrorf("42883", "set_config needs three arguments")
	}
	st := &statement{name: strings.ToLower(args[0]), value: args[1], local: args[2] == "t"}
	if err := checkSettingName(st.name); err != nil {
		return nil, err
	}
	x.ss.saveSettings(st)
	x.ss.applySetting(st.name, st.value)
	return textValue(st.value), nil
}

// advisoryLock is a lock on an application-defined number. Its owner can take
// it several times and must release it as often.
type advisoryLock struct {
	owner *session
	count int
}

// runAdvisoryLocks executes the advisory lock functions in a SELECT without a
// table.
func (x *execution) runAdvisoryLocks(ctx context.Context, res *result) error {
	for i, it := range x.st.outputs {
		if it.expr.kind != callExpr || !strings.HasPrefix(it.expr.name, "pg_") || !strings.Contains(it.expr.name, "advisory") {
			continue
		}
		s := x.ss.server
		if it.expr.name == "pg_advisory_unlock_all" {
			s.mu.Lock()
			s.releaseAdvisoryLocks(x.ss)
			s.notify()
			s.mu.Unlock()
			continue
		}
		if len(it.expr.args) != 1 {
			return sqlErrorf("42883", "%s needs one argument", it.expr.name)
		}
		n, err := x.evalInteger(it.expr.args[0])
		if err != nil {
			return err
		}
		done := false
		err = s.waitUntil(ctx, func() bool {
			done = s.tryAdvisoryLock(x.ss, it.expr.name, n)
			return done || it.expr.name != "pg_advisory_lock"
		})
		if err != nil {
			return err
		}
		if done && it.expr.name != "pg_advisory_lock" {
			res.rows[0][i] = textValue("t")
		}
	}
	return nil
}

// tryAdvisoryLock takes or releases an advisory lock without waiting and
// reports whether it succeeded. The caller must hold s.mu.
func (s *Server) tryAdvisoryLock(ss *session, name string, n int64) bool {
	l := s.advisoryLocks[n]
	if l != nil && l.owner != ss {
		return false
	}
	if name != "pg_advisory_unlock" {
		if l == nil {
			l = &advisoryLock{owner: ss}
			s.advisoryLocks[n] = l
		}
		l.count++
		return true
	}
	if l == nil {
		return false
	}
	if l.count--; l.count == 0 {
		delete(s.advisoryLocks, n)
		s.notify()
	}
	return true
}

// releaseAdvisoryLocks releases all advisory locks of a session. The caller
// must hold s.mu.
func (s *Server) releaseAdvisoryLocks(ss *session) {
	for n, l := range s.advisoryLocks {
		if l.owner == ss {
			delete(s.advisoryLocks, n)
		}
	}
}

// isAdministrative reports whether the statement is a group statement (a query
// of the member status or a call of a group_ function) or a query of
// pg_stat_activity. These run without a slot and are not recorded.
func (st *statement) isAdministrative() bool {
	if st.verb != "select" {
		return false
	}
	return st.table == statusTable || st.table == activityTable || st.table == "" && len(st.outputs) == 1 &&
		st.outputs[0].expr.kind == callExpr && strings.HasPrefix(st.outputs[0].expr.name, "group_")
}

// runAdministrative executes an administrative statement outside of any
// transaction.
func (ss *session) runAdministrative(ctx context.Context, st *statement, args []value) (*result, error) {
	if st.table == activityTable {
		return ss.server.activity(), nil
	}
	x := &execution{ss: ss, st: st, args: args}
	if st.table != "" {
		_, columns, err := ss.server.describe(nil, st, nil)
		if err != nil {
			return nil, err
		}
		x.resultColumns = columns
		res := &result{columns: columns, tag: "SELECT 1"}
		return res, x.project(res, ss.server.Status().row())
	}
	e := st.outputs[0].expr
	var values []value
	for _, a := range e.args {
		v, err := x.eval(a, nil)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
	v, ok, err := ss.server.callGroupFunction(ctx, e.name, values)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, sqlErrorf("42883", "function %s does not exist", e.name)
	}
	return &result{columns: []column{{e.name, callTypes[e.name][0], false}}, rows: [][]value{{v}}, tag: "SELECT 1"}, nil
}

// activityTable is the system view that lists connections. Only the pid column
// is implemented, for connections with a running statement.
const activityTable = "pg_stat_activity"

var activityColumns = []column{{"pid", 23, true}}

// activity returns the rows of activityTable.
func (s *Server) activity() *result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &result{columns: activityColumns}
	for pid, ss := range s.sessions {
		if ss.interrupt != nil {
			r.rows = append(r.rows, []value{numberValue(uint64(pid))})
		}
	}
	r.tag = fmt.Sprintf("SELECT %d", len(r.rows))
	return r
}
