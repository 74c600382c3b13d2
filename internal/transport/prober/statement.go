package prober

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// ErrInvalidStatus reports an answer to a status query that is not a valid status.
var ErrInvalidStatus = errors.New("answer is not a member status")

// sqlStateRefused is the SQLSTATE of a statement that conflicts with the term that
// the member has promised.
const sqlStateRefused = "55000"

const (
	statusQuery = "SELECT * FROM group_member_status()"
	// numberedStatusQuery returns the number of the query with the status, because
	// a server may send an answer twice: an earlier status would otherwise be taken
	// for the answer to a later query.
	numberedStatusQuery = "SELECT *, $1::text AS " + columnNumber + " FROM group_member_status()"
	columnNumber        = "oleanderpulley_query"
)

// Status queries a member's status on a new connection.
func (p *Prober) Status(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID) (tracker.MemberStatus, error) {
	return p.runStatement(ctx, service, server, "")
}

// Fence makes the member promise the term to the holder and returns its status
// after the promise. It returns [promoter.ErrRefused] if the member has promised a
// higher term, or has promised this term to another holder.
func (p *Prober) Fence(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error) {
	return p.runStatement(ctx, service, server, "SELECT group_fence("+formatTerm(term)+", "+quoteLiteral(holder)+")")
}

// Promote makes the member the primary of the term. It returns
// [promoter.ErrRefused] unless the member has promised exactly this term to this
// holder.
func (p *Prober) Promote(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, holder string) (tracker.MemberStatus, error) {
	return p.runStatement(ctx, service, server, "SELECT group_promote("+formatTerm(term)+", "+quoteLiteral(holder)+")")
}

// Follow makes the member replicate from the primary of the term at the address.
func (p *Prober) Follow(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, term identifier.Term, address string) (tracker.MemberStatus, error) {
	return p.runStatement(ctx, service, server, "SELECT group_follow("+formatTerm(term)+", "+quoteLiteral(address)+")")
}

// runStatement runs the statement, if it is not empty, and then a status query. It
// uses a new connection, because an open one may have stopped responding.
func (p *Prober) runStatement(ctx context.Context, service identifier.ServiceName, server identifier.BackendServerID, sql string) (tracker.MemberStatus, error) {
	m, err := p.member(service, server)
	if err != nil {
		return tracker.MemberStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.Times.Statement, 2*time.Second))
	defer cancel()
	conn, err := p.connect(ctx, service, m.Address)
	if err != nil {
		return tracker.MemberStatus{}, err
	}
	defer closeConn(conn)
	if sql != "" {
		p.queries.Add(1)
		if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
			var pgErr *pgconn.PgError
			if errors.As(err, &pgErr) && pgErr.Code == sqlStateRefused {
				return tracker.MemberStatus{}, errors.Wrapf(promoter.ErrRefused, "%s: %s", server, pgErr.Message)
			}
			return tracker.MemberStatus{}, errors.Wrapf(err, "statement at %s", server)
		}
	}
	return p.queryStatus(ctx, conn, server)
}

// queryStatus queries the status on an open connection and verifies that the
// expected backend server has answered.
func (p *Prober) queryStatus(ctx context.Context, conn *pgconn.PgConn, server identifier.BackendServerID) (tracker.MemberStatus, error) {
	p.queries.Add(1)
	result, err := executeStatusQuery(ctx, conn)
	if err != nil {
		return tracker.MemberStatus{}, errors.Wrapf(err, "status of %s", server)
	}
	if len(result.Rows) != 1 {
		return tracker.MemberStatus{}, errors.Wrapf(ErrInvalidStatus, "%s: %d rows instead of one", server, len(result.Rows))
	}
	st, err := parseStatus(result)
	if err == nil && st.Server != server {
		err = errors.Wrapf(ErrInvalidStatus, "%s answered as %s", server, st.Server)
	}
	return st, err
}

// Keys in the custom data of a connection. keyPrepared is also the name of the
// prepared statement.
const (
	keyQueried  = "asked"
	keyPrepared = "prepared"
	keyNumber   = "number" // uint64, of the next numbered query.
)

// executeStatusQuery runs the status query. From the second query on a connection
// it uses a prepared statement, so that the answer does not repeat the column
// descriptions: they are two thirds of the bytes of an answer, and status queries are
// the largest part of an instance's control traffic. Each of these queries has a number,
// which its answer must contain.
func executeStatusQuery(ctx context.Context, conn *pgconn.PgConn) (*pgconn.Result, error) {
	connectionData := conn.CustomData()
	if _, queried := connectionData[keyQueried]; !queried {
		results, err := conn.Exec(ctx, statusQuery).ReadAll()
		if err != nil {
			return nil, err
		}
		if len(results) != 1 {
			return nil, errors.Wrapf(ErrInvalidStatus, "%d results instead of one", len(results))
		}
		connectionData[keyQueried] = true
		return results[0], nil
	}
	description, ok := connectionData[keyPrepared].(*pgconn.StatementDescription)
	if !ok {
		var err error
		if description, err = conn.Prepare(ctx, keyPrepared, numberedStatusQuery, nil); err != nil {
			return nil, err
		}
		connectionData[keyPrepared] = description
	}
	number, _ := connectionData[keyNumber].(uint64)
	connectionData[keyNumber] = number + 1
	text := strconv.AppendUint(nil, number, 10)
	result := conn.ExecStatement(ctx, description, [][]byte{text}, nil, nil).Read()
	if result.Err != nil {
		return nil, result.Err
	}
	if got := column(result, columnNumber); !bytes.Equal(got, text) {
		return nil, errors.Wrapf(ErrInvalidStatus, "answer to query %.20q instead of %s", got, text)
	}
	return result, nil
}

// column returns the value of a column in the first row, or nil if the result has no
// row or no such column.
func column(r *pgconn.Result, name string) []byte {
	for i, f := range r.FieldDescriptions {
		if f.Name == name && len(r.Rows) > 0 && i < len(r.Rows[0]) {
			return r.Rows[0][i]
		}
	}
	return nil
}

// parseStatus converts the row of a status query. It finds columns by name, so
// that a later version of the platform may add columns.
func parseStatus(r *pgconn.Result) (tracker.MemberStatus, error) {
	var st tracker.MemberStatus
	columns := map[string]string{}
	for i, f := range r.FieldDescriptions {
		columns[f.Name] = string(r.Rows[0][i])
	}
	st.Server = identifier.BackendServerID(columns["server"])
	st.Incarnation = columns["incarnation"]
	st.Role = tracker.Role(columns["role"])
	numbers := map[string]uint64{}
	for _, name := range []string{"term", "promised_term", "applied", "received"} {
		v, err := strconv.ParseUint(columns[name], 10, 64)
		if err != nil {
			return st, errors.Wrapf(ErrInvalidStatus, "%s is %.20q", name, columns[name])
		}
		numbers[name] = v
	}
	st.Term, st.Promised = identifier.Term(numbers["term"]), identifier.Term(numbers["promised_term"])
	st.Applied, st.Received = identifier.LogOffset(numbers["applied"]), identifier.LogOffset(numbers["received"])
	if st.Role != tracker.Primary && st.Role != tracker.Replica {
		return st, errors.Wrapf(ErrInvalidStatus, "role is %.20q", st.Role)
	}
	var err error
	st.History, err = tracker.ParseHistory(columns["history"])
	return st, err
}

func formatTerm(term identifier.Term) string { return strconv.FormatUint(uint64(term), 10) }

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// closeConn closes the network connection directly, without waiting for a server
// that may not answer.
func closeConn(conn *pgconn.PgConn) {
	if conn != nil {
		_ = conn.Conn().Close()
	}
}
