package backendserver

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// binaryHeader is the signature at the start of binary COPY data. 4 bytes of
// flags and the 4-byte length of the header extension follow.
const binaryHeader = "PGCOPY\n\xff\r\n\x00"

var copyEscapes = strings.NewReplacer("\\", `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

// runCopy runs COPY FROM STDIN and COPY TO STDOUT, which need the simple
// protocol.
func (x *execution) runCopy(ctx context.Context) (*result, error) {
	columns, err := x.def.columnIndexes(x.st.columns)
	if err != nil {
		return nil, err
	}
	if x.st.toStdout {
		return x.copyOut(columns)
	}
	overallFormat := byte(0)
	columnFormats := make([]uint16, len(columns))
	if x.st.binary {
		overallFormat = 1
		for i := range columnFormats {
			columnFormats[i] = 1
		}
	}
	x.ss.backend.Send(&pgproto3.CopyInResponse{OverallFormat: overallFormat, ColumnFormatCodes: columnFormats})
	data, err := x.ss.receiveCopyData()
	if err != nil {
		return nil, err
	}
	parseRows := x.parseTextRows
	if x.st.binary {
		parseRows = x.parseBinaryRows
	}
	rows, err := parseRows(data, columns)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if _, err := x.insertRow(ctx, row); err != nil {
			return nil, err
		}
	}
	return &result{tag: fmt.Sprintf("COPY %d", len(rows))}, nil
}

// receiveCopyData requests data from the client and receives it up to CopyDone.
func (ss *session) receiveCopyData() ([]byte, error) {
	if err := ss.flush(); err != nil {
		return nil, err
	}
	var data []byte
	for {
		msg, err := ss.backend.Receive()
		if err != nil {
			return nil, errors.Wrapf(err, "connection %d: receive COPY data", ss.pid)
		}
		if err := ss.waitWhileBlocked(); err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return data, nil
		case *pgproto3.CopyFail:
			return nil, sqlErrorf("57014", "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return nil, errDropped
		}
	}
}

func (x *execution) parseTextRows(data []byte, columns []int) ([][]value, error) {
	var rows [][]value
	for _, line := range strings.Split(strings.TrimSuffix(string(data), "\n"), "\n") {
		if line == `\.` || line == "" && len(data) == 0 {
			break
		}
		fields := strings.Split(line, "\t")
		if len(fields) != len(columns) {
			return nil, sqlErrorf("22P04", "COPY row has %d fields for %d columns", len(fields), len(columns))
		}
		row := make([]value, len(fields))
		for i, f := range fields {
			if f != `\N` {
				row[i] = textValue(strings.NewReplacer(`\\`, "\\", `\t`, "\t", `\n`, "\n", `\r`, "\r").Replace(f))
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (x *execution) parseBinaryRows(data []byte, columns []int) ([][]value, error) {
	errInvalid := sqlErrorf("22P04", "invalid binary COPY data")
	r := bytes.NewBuffer(data)
	if string(r.Next(len(binaryHeader))) != binaryHeader || r.Len() < 8 {
		return nil, errInvalid
	}
	r.Next(8)
	var rows [][]value
	for {
		if r.Len() == 0 {
			return rows, nil // The trailer is optional.
		}
		if r.Len() < 2 {
			return nil, errInvalid
		}
		n := int16(binary.BigEndian.Uint16(r.Next(2)))
		if n == -1 {
			return rows, nil
		}
		if int(n) != len(columns) {
			return nil, errInvalid
		}
		row := make([]value, n)
		for i := range row {
			if r.Len() < 4 {
				return nil, errInvalid
			}
			size := int32(binary.BigEndian.Uint32(r.Next(4)))
			if size == -1 {
				continue
			}
			if size < 0 || r.Len() < int(size) {
				return nil, errInvalid
			}
			v, err := decode(r.Next(int(size)), x.def.Columns[columns[i]].OID, 1)
			if err != nil {
				return nil, err
			}
			row[i] = v
		}
		rows = append(rows, row)
	}
}

func (x *execution) copyOut(columns []int) (*result, error) {
	if x.st.binary {
		return nil, sqlErrorf("0A000", "COPY TO in binary format is not supported")
	}
	keys, err := x.matchingKeys()
	if err != nil {
		return nil, err
	}
	rows, err := x.orderedRows(keys)
	if err != nil {
		return nil, err
	}
	backend := x.ss.backend
	backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(columns))})
	for _, row := range rows {
		fields := make([]string, len(columns))
		for i, c := range columns {
			fields[i] = `\N`
			if row[c] != nil {
				fields[i] = copyEscapes.Replace(*row[c])
			}
		}
		backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})
	}
	backend.Send(&pgproto3.CopyDone{})
	return &result{tag: fmt.Sprintf("COPY %d", len(rows)), copied: true}, nil
}
