package backendserver

import (
	"context"
	"fmt"
	"strings"
)

func (x *execution) runInsert(ctx context.Context) (*result, error) {
	res := &result{columns: x.resultColumns}
	for _, exprs := range x.st.rows {
		values := make([]value, len(exprs))
		for i, e := range exprs {
			v, err := x.eval(e, nil)
			if err != nil {
				return nil, err
			}
			values[i] = v
		}
		row, err := x.insertRow(ctx, values)
		if err != nil {
			return nil, err
		}
		if err := x.project(res, row); err != nil {
			return nil, err
		}
	}
	res.tag = fmt.Sprintf("INSERT 0 %d", len(x.st.rows))
	return res, nil
}

// insertRow inserts one row. It waits for a concurrent transaction that has
// inserted or changed a row with the same key.
func (x *execution) insertRow(ctx context.Context, values []value) ([]value, error) {
	d := x.def
	columns, err := d.columnIndexes(x.st.columns)
	if err != nil {
		return nil, err
	}
	if len(values) > len(columns) || len(x.st.columns) > 0 && len(values) < len(columns) {
		return nil, sqlErrorf("42601", "INSERT has %d expressions for %d columns", len(values), len(columns))
	}
	row := make([]value, len(d.Columns))
	for i, v := range values {
		var err error
		if row[columns[i]], err = canonical(v, d.Columns[columns[i]].OID); err != nil {
			return nil, err
		}
	}
	if err := d.checkNotNull(row); err != nil {
		return nil, err
	}
	key := d.rowKey(row)
	if err := x.ss.acquireLock(ctx, x.tx, d.Name+"\x00"+key); err != nil {
		return nil, err
	}
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.store().row(x.tx, d.Name, key) != nil {
		return nil, sqlErrorf("23505", "duplicate key value violates unique constraint \"%s_pkey\"", d.Name)
	}
	x.tx.addOperation(operation{Table: d.Name, Key: key, Row: row})
	return row, nil
}

// columnIndexes returns the indexes of the named columns, or of all columns if
// no names are given.
func (d *tableDef) columnIndexes(names []string) ([]int, error) {
	var list []int
	for _, name := range names {
		i, err := d.columnIndex(name)
		if err != nil {
			return nil, err
		}
		list = append(list, i)
	}
	if len(names) == 0 {
		for i := range d.Columns {
			list = append(list, i)
		}
	}
	return list, nil
}

// checkNotNull returns an error if a key column or a NOT NULL column is null.
func (d *tableDef) checkNotNull(row []value) error {
	for _, i := range d.Key {
		if row[i] == nil {
			return sqlErrorf("23502", "null value in key column %q", d.Columns[i].Name)
		}
	}
	for i, c := range d.Columns {
		if c.NotNull && row[i] == nil {
			return sqlErrorf("23502", "null value in column %q", c.Name)
		}
	}
	return nil
}

// runUpdateOrDelete executes UPDATE and DELETE. It reads each row again after
// locking it, because another transaction may have changed it in between.
func (x *execution) runUpdateOrDelete(ctx context.Context) (*result, error) {
	keys, err := x.matchingKeys()
	if err != nil {
		return nil, err
	}
	res := &result{columns: x.resultColumns}
	n := 0
	for _, key := range keys {
		if err := x.ss.acquireLock(ctx, x.tx, x.def.Name+"\x00"+key); err != nil {
			return nil, err
		}
		row, err := x.modifyRow(key)
		if err != nil {
			return nil, err
		}
		if row == nil {
			continue
		}
		n++
		if err := x.project(res, row); err != nil {
			return nil, err
		}
	}
	res.tag = fmt.Sprintf("%s %d", strings.ToUpper(x.st.verb), n)
	return res, nil
}

// modifyRow updates or deletes one locked row. It returns the new version, or
// the deleted one, or nil if the row no longer matches.
func (x *execution) modifyRow(key string) ([]value, error) {
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	old := x.store().row(x.tx, x.def.Name, key)
	match, _, err := x.matcher()
	if err != nil || old == nil || !match(old) {
		return nil, err
	}
	if x.st.verb == "delete" {
		x.tx.addOperation(operation{Table: x.def.Name, Key: key})
		return old, nil
	}
	row := append([]value{}, old...)
	for _, a := range x.st.assignments {
		i, e := x.def.columnIndex(a.column)
		if e != nil {
			return nil, e
		}
		if row[i], err = x.eval(a.expr, old); err == nil {
			row[i], err = canonical(row[i], x.def.Columns[i].OID)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := x.def.checkNotNull(row); err != nil {
		return nil, err
	}
	if x.def.rowKey(row) != key {
		return nil, sqlErrorf("0A000", "key columns cannot be updated")
	}
	x.tx.addOperation(operation{Table: x.def.Name, Key: key, Row: row})
	return row, nil
}

func (x *execution) runCreateTable(ctx context.Context) (*result, error) {
	if err := x.ss.acquireLock(ctx, x.tx, "\x00"+x.st.table); err != nil {
		return nil, err
	}
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	_, e := x.store().tableDef(x.tx, x.st.table)
	switch {
	case e == nil && !x.st.ifNotExists:
		return nil, sqlErrorf("42P07", "relation %q already exists", x.st.table)
	case e != nil:
		x.tx.addOperation(operation{Create: &x.st.def})
	}
	return &result{tag: "CREATE TABLE"}, nil
}
