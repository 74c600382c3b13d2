package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/launcher"
)

const (
	// writeProbability makes a fifth of the statements writes, since each write is
	// followed by a read that does not draw.
	writeProbability          = 0.25
	moveProbability           = 0.02
	homeProbability           = 0.5 // That a connection goes to the home instance of the workspace.
	secondInstanceProbability = 0.3 // That it goes to the next instance.
	statementTimeout          = 5 * time.Second

	positionSetting     = "oleanderpulley.position"
	lostConnectionState = "lost connection"
	givenUpState        = "given up" // By the client before the statement was sent.
	readStatement       = "SELECT value FROM stock WHERE id = $1"
	writeStatement      = "UPDATE stock SET value = $1 WHERE id = $2 AND value < $3"
)

// session is a client with its own connection, and a row that only it writes.
type session struct {
	load         *loadGenerator
	workspace    workspace
	id           string // Primary key of its row.
	homeInstance int
	random       *rand.Rand

	conn               *pgx.Conn
	row                expectedRow
	readBackDue        bool   // The next statement reads the last write.
	position           string // Includes all of the session's writes; empty if unknown.
	positionAfterWrite string // Value of positionSetting after the last write, empty after a reconnect; a read sets position once the value differs.
	// reconnectedWithoutPosition is set when the session has reconnected without
	// a position since its last acknowledged write.
	reconnectedWithoutPosition bool

	currentArrival atomic.Int64 // Scheduled arrival that is running or due next, in Unix nanoseconds.
}

// run issues statements at exponentially distributed intervals until the
// context ends. The schedule does not wait for responses.
func (s *session) run(ctx context.Context, start time.Time) {
	defer s.disconnect()
	arrival := start
	for {
		arrival = arrival.Add(time.Duration(s.random.ExpFloat64() / sessionRate * float64(time.Second)))
		s.currentArrival.Store(arrival.UnixNano())
		if sleep(ctx, time.Until(arrival)) != nil {
			return
		}
		o := outcome{workspace: s.workspace.name, arrival: arrival}
		if time.Since(arrival) > lateAfter {
			o.state = givenUpState
		} else {
			o.state, o.violation = s.runStatement(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		o.end = time.Now()
		s.load.record(o)
	}
}

// runStatement runs one read or write. It returns the SQLSTATE or
// lostConnectionState of a failure, and whether a read broke consistency.
func (s *session) runStatement(ctx context.Context) (state string, violation bool) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	if s.load.moveSessions.Load() && s.random.Float64() < moveProbability {
		s.disconnect()
	}
	if s.conn == nil {
		if err := s.connect(ctx); err != nil {
			return s.handleFailure(err), false
		}
	}
	if !s.readBackDue && s.random.Float64() < writeProbability {
		return s.write(ctx), false
	}
	return s.read(ctx)
}

func (s *session) read(ctx context.Context) (state string, violation bool) {
	var value int64
	if err := s.conn.QueryRow(ctx, readStatement, s.id).Scan(&value); err != nil {
		return s.handleFailure(err), false
	}
	s.readBackDue = false
	if p := s.conn.PgConn().ParameterStatus(positionSetting); p != s.positionAfterWrite {
		s.position = p
	}
	return "", s.violatesGuarantee(value)
}

// violatesGuarantee reports whether a value that was read breaks session
// consistency.
func (s *session) violatesGuarantee(value int64) bool {
	before := s.row
	if s.row.checkRead(value) {
		return false
	}
	// The proxy cannot notify a client that presents no position that its last
	// write was lost with an old primary (docs/design.md, 5.2 and 5.3).
	if s.reconnectedWithoutPosition && value < before.acknowledged && s.load.countLostWrite(s.workspace.service) {
		s.row.positionLost()
		return !s.row.checkRead(value)
	}
	s.load.reportViolation(fmt.Sprintf("violation: session %s read %d after %d was acknowledged and %d attempted; reconnected without a position: %v",
		s.id, value, before.acknowledged, before.attempted, s.reconnectedWithoutPosition))
	return true
}

func (s *session) write(ctx context.Context) (state string) {
	value := s.row.nextValue()
	_, err := s.conn.Exec(ctx, writeStatement, value, s.id, value)
	s.position, s.positionAfterWrite = "", s.conn.PgConn().ParameterStatus(positionSetting)
	if err != nil {
		return s.handleFailure(err)
	}
	s.readBackDue, s.reconnectedWithoutPosition = true, false
	s.row.acknowledge(value)
	s.load.recordWrite(s.workspace.service, time.Now())
	return ""
}

// handleFailure returns the SQLSTATE of an error or lostConnectionState, and
// drops the connection if it is closed or if the session's position is lost.
func (s *session) handleFailure(err error) string {
	state := lostConnectionState
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		state = pg.Code
	}
	if state == "72000" {
		s.row.positionLost()
		s.position = ""
		s.disconnect()
	}
	if s.conn != nil && s.conn.IsClosed() {
		s.conn = nil
	}
	return state
}

// connect opens a connection to a random instance, most often the home instance
// or the next one, and presents the session's position if it is known.
func (s *session) connect(ctx context.Context) error {
	config, err := pgx.ParseConfig(s.load.launcher.URL(s.chooseInstance(), s.workspace.service, s.workspace.name))
	if err != nil {
		return errors.Wrapf(err, "connection string of session %s", s.id)
	}
	s.reconnectedWithoutPosition = s.reconnectedWithoutPosition || s.position == "" && s.row.acknowledged > 0
	if s.position != "" {
		config.RuntimeParams[positionSetting] = s.position
	}
	config.DialFunc = s.load.dial
	s.conn, err = pgx.ConnectConfig(ctx, config)
	s.positionAfterWrite = ""
	return errors.Wrapf(err, "connecting session %s", s.id)
}

// chooseInstance returns a random instance for a new connection.
func (s *session) chooseInstance() *launcher.Instance {
	all := s.load.launcher.All()
	draw := s.random.Float64()
	switch {
	case draw < homeProbability:
		return all[s.homeInstance%len(all)]
	case draw < homeProbability+secondInstanceProbability:
		return all[(s.homeInstance+1)%len(all)]
	}
	return all[s.random.IntN(len(all))]
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// insertRows returns the statement that inserts the rows of the sessions.
func insertRows(sessions []*session) string {
	rows := make([]string, len(sessions))
	for i, s := range sessions {
		rows[i] = "('" + s.id + "', 0)"
	}
	return "INSERT INTO stock (id, value) VALUES " + strings.Join(rows, ", ")
}
