package backendserver

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement with the types of its parameters and its
// result columns.
type preparedStatement struct {
	statement *statement // nil for an empty query
	types     []uint32
	columns   []column
}

// portal is a prepared statement with bound parameters.
type portal struct {
	*preparedStatement
	args    []value
	formats []int16
	result  *result // nil before the first Execute; without the rows that were sent
}

// handleExtended handles the Parse, Bind, Describe, Execute and Close messages
// of the extended protocol.
func (ss *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return ss.parse(m)
	case *pgproto3.Bind:
		return ss.bind(m)
	case *pgproto3.Describe:
		return ss.describe(m)
	case *pgproto3.Execute:
		return ss.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(ss.prepared, m.Name)
		} else {
			delete(ss.portals, m.Name)
		}
		ss.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return sqlErrorf("08P01", "unexpected message %T", msg)
}

// parse handles a Parse message, which may contain at most one statement.
func (ss *session) parse(m *pgproto3.Parse) error {
	list, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return sqlErrorf("42601", "cannot insert multiple commands into a prepared statement")
	}
	var st *statement
	if len(list) == 1 {
		st = list[0]
		if ss.blockFailed && !endsBlock(st) {
			return errFailedBlock
		}
	}
	if err := ss.prepare(m.Name, st, m.ParameterOIDs); err != nil {
		return err
	}
	ss.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// prepare stores a statement under a name; st is nil for an empty query.
func (ss *session) prepare(name string, st *statement, declaredTypes []uint32) (err error) {
	if name != "" && ss.prepared[name] != nil {
		return sqlErrorf("42P05", "prepared statement %q already exists", name)
	}
	p := &preparedStatement{statement: st}
	if st != nil {
		s := ss.server
		s.mu.Lock()
		p.types, p.columns, err = s.describe(ss.tx, st, declaredTypes)
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if inner := ss.prepared[st.name]; st.verb == "execute" && inner != nil {
			p.columns = inner.columns
		}
	}
	ss.prepared[name] = p
	return nil
}

// bind handles a Bind message: it decodes the parameters and stores a portal.
func (ss *session) bind(m *pgproto3.Bind) error {
	p := ss.prepared[m.PreparedStatement]
	if p == nil {
		return sqlErrorf("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.types) {
		return sqlErrorf("08P01", "bind message supplies %d parameters, but prepared statement requires %d",
			len(m.Parameters), len(p.types))
	}
	bound := &portal{preparedStatement: p, formats: append([]int16{}, m.ResultFormatCodes...)}
	for i, data := range m.Parameters {
		v, err := decode(data, p.types[i], formatCode(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.args = append(bound.args, v)
	}
	ss.portals[m.DestinationPortal] = bound
	ss.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// describe handles a Describe message for a prepared statement or a portal.
func (ss *session) describe(m *pgproto3.Describe) error {
	p, formats := ss.prepared[m.Name], []int16(nil)
	if m.ObjectType == 'S' {
		if p == nil {
			return sqlErrorf("26000", "prepared statement %q does not exist", m.Name)
		}
		ss.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
	} else {
		bound := ss.portals[m.Name]
		if bound == nil {
			return sqlErrorf("34000", "portal %q does not exist", m.Name)
		}
		p, formats = bound.preparedStatement, bound.formats
	}
	if p.columns == nil {
		ss.backend.Send(&pgproto3.NoData{})
	} else {
		ss.backend.Send(rowDescription(p.columns, formats))
	}
	return nil
}

// execute handles an Execute message. The statement runs on the first one for
// its portal; further ones return the remaining rows.
func (ss *session) execute(m *pgproto3.Execute) error {
	bound := ss.portals[m.Portal]
	if bound == nil {
		return sqlErrorf("34000", "portal %q does not exist", m.Portal)
	}
	if bound.statement == nil {
		ss.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ss.recordResponse(bound.statement.sql)
	if bound.result == nil {
		res, err := ss.runStatement(bound.statement, bound.args, bound.types, false)
		if err != nil {
			return err
		}
		bound.result = res
	}
	rows := bound.result.rows
	if n := int(m.MaxRows); n > 0 && len(rows) > n {
		bound.result.rows = rows[n:]
		ss.sendRows(bound.result.columns, rows[:n], bound.formats)
		ss.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	bound.result.rows = nil
	ss.sendRows(bound.result.columns, rows, bound.formats)
	ss.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.result.tag)})
	return nil
}

func (ss *session) sendRows(columns []column, rows [][]value, formats []int16) {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encode(v, columns[i].OID, formatCode(formats, i))
		}
		ss.backend.Send(&pgproto3.DataRow{Values: values})
	}
}

// formatCode returns the format code of column i. No codes mean text, and a
// single code applies to all columns.
func formatCode(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: c.OID, DataTypeSize: typeSize(c.OID), TypeModifier: -1,
			Format: formatCode(formats, i),
		})
	}
	return d
}
