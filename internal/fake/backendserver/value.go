package backendserver

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// value is a column value in PostgreSQL's text format; nil is NULL.
type value = *string

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message}
}

func sqlErrorf(code, format string, args ...any) *sqlError {
	return &sqlError{code, fmt.Sprintf(format, args...)}
}

func textValue(s string) value { return &s }

func numberValue[T ~uint64 | ~int64 | ~uint32 | ~int](n T) value {
	return textValue(fmt.Sprintf("%d", n))
}

// typeOID returns the type for a type name in SQL, and whether the name is
// supported. Types without an own implementation are mapped to similar ones.
func typeOID(name string) (uint32, bool) {
	switch name {
	case "int8", "bigint", "bigserial":
		return pgtype.Int8OID, true
	case "int4", "int", "integer", "serial":
		return pgtype.Int4OID, true
	case "text", "varchar", "character", "char", "uuid", "timestamptz":
		return pgtype.TextOID, true
	case "bool", "boolean":
		return pgtype.BoolOID, true
	case "float8", "double", "numeric":
		return pgtype.Float8OID, true
	case "bytea":
		return pgtype.ByteaOID, true
	}
	return 0, false
}

// typeSize returns the size of a type in binary format, -1 for a variable size.
func typeSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int8OID, pgtype.Float8OID:
		return 8
	case pgtype.Int4OID:
		return 4
	case pgtype.Int2OID:
		return 2
	case pgtype.BoolOID:
		return 1
	}
	return -1
}

// canonical converts a value to the canonical text format of its type, so that
// equal values have equal texts.
func canonical(v value, oid uint32) (value, error) {
	if v == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		n, err := strconv.ParseInt(*v, 10, 8*int(typeSize(oid)))
		if err != nil {
			return nil, sqlErrorf("22P02", "invalid input syntax for type integer: %.40q", *v)
		}
		return numberValue(n), nil
	case pgtype.Float8OID:
		if _, err := strconv.ParseFloat(*v, 64); err != nil {
			return nil, sqlErrorf("22P02", "invalid input syntax for type double precision: %.40q", *v)
		}
	case pgtype.BoolOID:
		b, err := strconv.ParseBool(*v)
		if err != nil {
			return nil, sqlErrorf("22P02", "invalid input syntax for type boolean: %.40q", *v)
		}
		return textValue(map[bool]string{true: "t", false: "f"}[b]), nil
	}
	return v, nil
}

// decode decodes a parameter, or a field of binary COPY data, in text format
// (0) or binary format (1).
func decode(data []byte, oid uint32, format int16) (value, error) {
	if data == nil {
		return nil, nil
	}
	if format == 0 {
		return canonical(textValue(string(data)), oid)
	}
	if size := typeSize(oid); size >= 0 && len(data) != int(size) {
		return nil, sqlErrorf("22P03", "incorrect binary data format of %d bytes for type %d", len(data), oid)
	}
	switch oid {
	case pgtype.Int8OID:
		return numberValue(int64(binary.BigEndian.Uint64(data))), nil
	case pgtype.Int4OID:
		return numberValue(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case pgtype.Int2OID:
		return numberValue(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case pgtype.Float8OID:
		return textValue(strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(data)), 'g', -1, 64)), nil
	case pgtype.BoolOID:
		return textValue(map[bool]string{true: "t", false: "f"}[data[0] != 0]), nil
	case pgtype.ByteaOID:
		return textValue(`\x` + hex.EncodeToString(data)), nil
	}
	return textValue(string(data)), nil
}

// encode encodes a value for a DataRow message in the format that the client
// requested.
func encode(v value, oid uint32, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == 0 {
		return []byte(*v)
	}
	switch oid {
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		n, _ := strconv.ParseInt(*v, 10, 64)
		wide := binary.BigEndian.AppendUint64(nil, uint64(n))
		return wide[8-typeSize(oid):]
	case pgtype.Float8OID:
		f, _ := strconv.ParseFloat(*v, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	case pgtype.BoolOID:
		if *v == "t" {
			return []byte{1}
		}
		return []byte{0}
	case pgtype.ByteaOID:
		if len(*v) >= 2 && (*v)[:2] == `\x` {
			if raw, err := hex.DecodeString((*v)[2:]); err == nil {
				return raw
			}
		}
	}
	return []byte(*v)
}

// compareValues compares two values of a type. NULL sorts last.
func compareValues(a, b value, oid uint32) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return 1
	case b == nil:
		return -1
	}
	if size := typeSize(oid); size > 1 {
		x, errX := strconv.ParseFloat(*a, 64)
		y, errY := strconv.ParseFloat(*b, 64)
		m, errM := strconv.ParseInt(*a, 10, 64)
		n, errN := strconv.ParseInt(*b, 10, 64)
		switch {
		case errM == nil && errN == nil && m != n:
			return map[bool]int{true: -1, false: 1}[m < n]
		case errX == nil && errY == nil && x != y:
			return map[bool]int{true: -1, false: 1}[x < y]
		case errX == nil && errY == nil:
			return 0
		}
	}
	switch {
	case *a < *b:
		return -1
	case *a > *b:
		return 1
	}
	return 0
}
