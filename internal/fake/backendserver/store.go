package backendserver

import (
	"sort"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// requestsTable exists in every store, see docs/design.md, 5.4.
const requestsTable = "oleanderpulley_requests"

type column struct {
	Name    string
	OID     uint32
	NotNull bool
}

// tableDef is the schema of a table. Key lists the column indexes of its unique
// key.
type tableDef struct {
	Name    string
	Columns []column
	Key     []int
}

func (d *tableDef) columnIndex(name string) (int, *sqlError) {
	for i, c := range d.Columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, sqlErrorf("42703", "column %q does not exist", name)
}

// rowKey returns the key of a row in the store: the values of the key columns,
// each followed by a zero byte.
func (d *tableDef) rowKey(row []value) string {
	var b strings.Builder
	for _, i := range d.Key {
		if row[i] != nil {
			b.WriteString(*row[i])
		}
		b.WriteByte(0)
	}
	return b.String()
}

// operation is one change of a committed transaction: a new table, or the new
// version of a row (nil: deleted).
type operation struct {
	Create *tableDef `json:",omitempty"`
	Table  string    `json:",omitempty"`
	Key    string    `json:",omitempty"`
	Row    []value   `json:",omitempty"`
}

// size returns the bytes of the log that an operation occupies.
func (o operation) size() uint64 {
	n := 24 + len(o.Table) + len(o.Key)
	for _, v := range o.Row {
		if v != nil {
			n += len(*v)
		}
	}
	return uint64(n)
}

type table struct {
	def  *tableDef
	rows map[string][]value
}

// store contains the committed data. It is guarded by the lock of the server.
type store struct {
	tables map[string]*table
}

func newStore() *store {
	st := &store{tables: map[string]*table{}}
	st.apply(operation{Create: &tableDef{
		Name: requestsTable,
		Columns: []column{
			{"workspace", pgtype.TextOID, true}, {"request_id", pgtype.TextOID, true}, {"digest", pgtype.TextOID, false},
		},
		Key: []int{0, 1},
	}})
	return st
}

func (st *store) apply(o operation) {
	if o.Create != nil {
		st.tables[o.Create.Name] = &table{o.Create, map[string][]value{}}
		return
	}
	t := st.tables[o.Table]
	if o.Row == nil {
		delete(t.rows, o.Key)
	} else {
		t.rows[o.Key] = o.Row
	}
}

// transaction contains the uncommitted changes and the locks of one session.
type transaction struct {
	readOnly      bool
	term          uint64
	ops           []operation
	createdTables map[string]*tableDef
	changedRows   map[string]map[string][]value // by table and row key; nil: deleted
	locks         []string
	waitsFor      string // key of the lock that it waits for; empty if none
	records       []*Record
	savedSettings map[string]string // restored after a rollback
	localSettings map[string]bool   // names set with SET LOCAL, restored after a commit
}

func (tx *transaction) addOperation(o operation) {
	tx.ops = append(tx.ops, o)
	if o.Create != nil {
		if tx.createdTables == nil {
			tx.createdTables = map[string]*tableDef{}
		}
		tx.createdTables[o.Create.Name] = o.Create
		return
	}
	if tx.changedRows == nil {
		tx.changedRows = map[string]map[string][]value{}
	}
	if tx.changedRows[o.Table] == nil {
		tx.changedRows[o.Table] = map[string][]value{}
	}
	tx.changedRows[o.Table][o.Key] = o.Row
}

// tableDef returns the schema of a table that is visible to the transaction.
func (st *store) tableDef(tx *transaction, name string) (*tableDef, *sqlError) {
	if tx != nil && tx.createdTables[name] != nil {
		return tx.createdTables[name], nil
	}
	if t := st.tables[name]; t != nil {
		return t.def, nil
	}
	return nil, sqlErrorf("42P01", "relation %q does not exist", name)
}

// row returns the version of a row that is visible to the transaction, or
// nil.
func (st *store) row(tx *transaction, name, key string) []value {
	if row, ok := tx.changedRows[name][key]; ok {
		return row
	}
	if t := st.tables[name]; t != nil {
		return t.rows[key]
	}
	return nil
}

// matchingKeys returns the sorted keys of the matching rows that are visible to
// the transaction. If exactKey is not empty, only the row with this key is
// read.
func (st *store) matchingKeys(tx *transaction, d *tableDef, match func([]value) bool, exactKey string) []string {
	if exactKey != "" {
		if row := st.row(tx, d.Name, exactKey); row != nil && match(row) {
			return []string{exactKey}
		}
		return nil
	}
	var matchingKeys []string
	uncommitted := tx.changedRows[d.Name]
	if t := st.tables[d.Name]; t != nil {
		for key, row := range t.rows {
			if _, ok := uncommitted[key]; !ok && match(row) {
				matchingKeys = append(matchingKeys, key)
			}
		}
	}
	for key, row := range uncommitted {
		if row != nil && match(row) {
			matchingKeys = append(matchingKeys, key)
		}
	}
	numericKey := len(d.Key) == 1 && typeSize(d.Columns[d.Key[0]].OID) > 1
	sort.Slice(matchingKeys, func(i, j int) bool {
		if numericKey && len(matchingKeys[i]) != len(matchingKeys[j]) {
			return len(matchingKeys[i]) < len(matchingKeys[j])
		}
		return matchingKeys[i] < matchingKeys[j]
	})
	return matchingKeys
}
