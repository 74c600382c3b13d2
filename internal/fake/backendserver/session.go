package backendserver

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// errDropped closes a connection without a response.
var errDropped = errors.New("connection dropped")

// reportedSettings maps each setting whose value is sent in ParameterStatus
// messages to its name there.
var reportedSettings = map[string]string{
	"server_version": "server_version", "server_encoding": "server_encoding", "client_encoding": "client_encoding",
	"datestyle": "DateStyle", "timezone": "TimeZone", "integer_datetimes": "integer_datetimes",
	"standard_conforming_strings": "standard_conforming_strings", "application_name": "application_name",
	"search_path": "search_path",
}

// otherSettings lists the further settings without a dot that clients may set.
// Their values have no effect.
var otherSettings = []string{
	"statement_timeout", "lock_timeout", "idle_in_transaction_session_timeout", "extra_float_digits",
	"synchronous_commit", "default_transaction_isolation", "default_transaction_read_only", "transaction_isolation",
}

// checkSettingName returns an error for a setting that a PostgreSQL server does
// not have. Names with a dot are custom settings and always valid.
func checkSettingName(name string) error {
	if reportedSettings[name] != "" || strings.Contains(name, ".") || slices.Contains(otherSettings, name) {
		return nil
	}
	return sqlErrorf("42704", "unrecognized configuration parameter %q", name)
}

// session serves one client connection.
type session struct {
	server            *Server
	conn              net.Conn
	backend           *pgproto3.Backend
	writer            responseWriter
	lateResponse      []byte // sent before the response to the next message
	ctx               context.Context
	cancel            context.CancelFunc
	pid               uint32
	startupParameters map[string]string // writes need the server's lock
	defaults          map[string]string
	settings          map[string]string
	prepared          map[string]*preparedStatement
	portals           map[string]*portal
	inBlock           bool // between BEGIN and COMMIT or ROLLBACK
	blockFailed       bool // after an error; the block can only be rolled back
	skipToSync        bool // discards messages up to Sync after an error in the extended protocol
	multiStatement    bool // the current Query message has several statements
	tx                *transaction

	// Guarded by the server's lock.
	silent    bool
	admitted  bool                    // counts towards MaxConnections
	interrupt context.CancelCauseFunc // cancels the running statement; nil when idle
}

func newSession(s *Server, conn net.Conn, pid uint32) *session {
	ss := &session{
		server: s, conn: conn, writer: responseWriter{conn: conn}, pid: pid,
		prepared: map[string]*preparedStatement{}, portals: map[string]*portal{},
		defaults: map[string]string{
			"server_version": "17.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "datestyle": "ISO, MDY",
			"timezone": "UTC", "integer_datetimes": "on", "standard_conforming_strings": "on", "application_name": "",
			"transaction_isolation": "read committed", "search_path": `"$user", public`,
		},
	}
	ss.backend = pgproto3.NewBackend(conn, &ss.writer)
	ss.ctx, ss.cancel = context.WithCancel(s.ctx)
	return ss
}

// cancelKey returns the secret key that a cancel request for the connection
// must contain.
func cancelKey(pid uint32) []byte { return []byte{byte(pid), byte(pid >> 8), 0x5a, 0xa5} }

// reset closes the connection with a TCP RST.
func (ss *session) reset() {
	if tcp, ok := ss.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = ss.conn.Close()
}

func (ss *session) serve() {
	defer func() {
		ss.rollback()
		s := ss.server
		s.mu.Lock()
		s.releaseAdvisoryLocks(ss)
		delete(s.sessions, ss.pid)
		if ss.admitted {
			s.admittedSessions--
		}
		s.notify()
		s.mu.Unlock()
		ss.cancel()
		_ = ss.conn.Close()
	}()
	if err := ss.login(); err != nil {
		return
	}
	for {
		msg, err := ss.backend.Receive()
		if err != nil {
			return
		}
		if err := ss.waitWhileBlocked(); err != nil {
			return
		}
		if err := ss.sendLateResponse(); err != nil {
			return
		}
		if err := ss.handleMessage(msg); err != nil {
			return
		}
	}
}

// waitWhileBlocked waits until no fault blocks messages between the server and
// the client.
func (ss *session) waitWhileBlocked() error {
	return ss.server.waitUntil(ss.ctx, func() bool { return !ss.server.isBlocked(ss) })
}

func (ss *session) flush() error {
	if err := ss.waitWhileBlocked(); err != nil {
		return err
	}
	return errors.Wrapf(ss.backend.Flush(), "connection %d: send messages", ss.pid)
}

// cancelStatement cancels the running statement of a connection if the key is
// correct.
func (s *Server) cancelStatement(pid uint32, key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ss := s.sessions[pid]; ss != nil && string(key) == string(cancelKey(pid)) && ss.interrupt != nil {
		ss.interrupt(sqlErrorf("57014", "canceling statement due to user request"))
	}
}

func (ss *session) reportSetting(name string) {
	if reportedSettings[name] != "" {
		ss.backend.Send(&pgproto3.ParameterStatus{Name: reportedSettings[name], Value: ss.settings[name]})
	}
}

// sendReadyForQuery sends the transaction status and flushes all buffered
// messages.
func (ss *session) sendReadyForQuery() error {
	status := byte('I')
	switch {
	case ss.blockFailed:
		status = 'E'
	case ss.inBlock:
		status = 'T'
	}
	ss.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return ss.flushResponse()
}

func (ss *session) handleMessage(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return ss.handleQuery(m.String)
	case *pgproto3.Sync:
		ss.skipToSync = false
		if err := ss.commitImplicit(); err != nil {
			if err := ss.failStatement(err); err != nil {
				return err
			}
		}
		return ss.sendReadyForQuery()
	case *pgproto3.Flush:
		return ss.flush()
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // Sent by the client before it learned that its COPY failed.
	}
	if ss.skipToSync {
		return nil
	}
	err := ss.handleExtended(msg)
	if err != nil {
		ss.skipToSync = true
		return ss.failStatement(err)
	}
	return nil
}

// handleQuery runs the statements of a Query message (simple protocol).
func (ss *session) handleQuery(sql string) error {
	ss.recordResponse(sql)
	list, err := parse(sql)
	if err == nil && len(list) == 0 {
		ss.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	ss.multiStatement = len(list) > 1
	for i, st := range list {
		var res *result
		if res, err = ss.runStatement(st, nil, nil, true); err == nil && i == len(list)-1 {
			err = ss.commitImplicit()
		}
		if err != nil {
			break
		}
		if res.columns != nil && !res.copied {
			ss.backend.Send(rowDescription(res.columns, nil))
			ss.sendRows(res.columns, res.rows, nil)
		}
		ss.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	}
	if err != nil {
		if err := ss.failStatement(err); err != nil {
			return err
		}
	}
	return ss.sendReadyForQuery()
}

// failStatement sends an SQL error to the client and rolls the transaction
// back. Any other error is returned and closes the connection.
func (ss *session) failStatement(err error) error {
	var e *sqlError
	if !errors.As(err, &e) {
		return err
	}
	ss.backend.Send(e.response())
	ss.rollback()
	ss.blockFailed = ss.inBlock
	return nil
}

// statementContext returns a context that ends with the connection or on a
// cancel request, and a function that releases it.
func (ss *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ss.ctx)
	s := ss.server
	s.mu.Lock()
	ss.interrupt = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		ss.interrupt = nil
		s.mu.Unlock()
		cancel(nil)
	}
}

// occupySlot waits for a slot and holds it for ServiceTime plus extra.
func (ss *session) occupySlot(ctx context.Context, extra time.Duration) error {
	s := ss.server
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		defer func() { <-s.slots }()
	}
	s.mu.Lock()
	extra += s.ServiceTime
	s.mu.Unlock()
	if extra > 0 {
		if err := waitUpTo(ctx, extra, nil); err != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}
