package soaker

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

const (
	// maxStaleness is the staleness bound of the routes.
	maxStaleness = 1500 * time.Millisecond
	// answerTimeout is the time that a client waits for an answer.
	answerTimeout        = 2 * time.Second
	maxPause             = 30 * time.Millisecond
	maxSessionOperations = 40 // Operations in one session.
)

var errUnexpectedAnswer = errors.New("unexpected answer")

// refusalCodes are the error codes which guarantee that the operation had no
// effect.
var refusalCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "NODB", "NOAUTH", "NOSTMT", "MALFORMED"}

// outcome is the result of an operation as the client received it.
type outcome int

const (
	unknown outcome = iota
	acknowledged
	refused // Guaranteed to have had no effect, or rolled back.
)

// operation is one statement outside of a transaction, or one transaction. The id
// is that of the statement which decides the outcome, such as COMMIT.
type operation struct {
	id, key, workspace, database string // The database stands for its kind of route.
	instance                     string // Name of the instance that it was sent to.
	writeIDs                     []string
	statementIDs                 []string // Statements that were sent.
	isTransaction                bool
	beginID                      string // Of the BEGIN of a transaction.
	shape                        string // "READ shape" or "WRITE shape" if a prepared statement was executed.
	lastWrite                    string // Statement id of the last acknowledged write of the session.
	sent, answered               time.Time
	outcome                      outcome
	code                         string
}

// history records the operations of all clients, and all statements that they sent.
type history struct {
	mu             sync.Mutex
	operations     []operation
	statements     []statement
	failedSessions []failedSession
	wronglyRefused []string // Refused sessions with a key and a database that are always valid.
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) addFailedSession(s failedSession) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedSessions = append(h.failedSessions, s)
}

func (h *history) addStatement(s statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statements = append(h.statements, s)
}

// client opens sessions at random instances and sends random operations.
type client struct {
	environment *environment
	history     *history
	number      int // Distinguishes the clients in statement ids.
	random      *rand.Rand
	count       int               // Number of ids that newID returned.
	settings    map[string]string // Acknowledged session values.
	shape       string            // Of the prepared statements.

	instance string // Name of the instance of the session.
	conn     net.Conn
	reader   *bufio.Reader

	waiting atomic.Pointer[wait] // What run waits for; nil before its first call.
}

func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-c.pause():
		}
		c.runSession(stop)
	}
}

// pause returns a channel that receives after a random time of at most maxPause.
func (c *client) pause() <-chan time.Time {
	c.waitFor("in a pause")
	return time.After(time.Duration(c.random.Int64N(int64(maxPause))))
}

func (c *client) waitFor(what string) {
	c.waiting.Store(&wait{what, time.Now()})
}

// runSession opens a session and sends operations until one returns an error, stop
// is closed or the session has sent maxSessionOperations.
func (c *client) runSession(stop <-chan struct{}) {
	credential := c.environment.keys[c.random.IntN(len(c.environment.keys))]
	database := routeKinds[c.random.IntN(len(routeKinds))]
	hosts := c.environment.soak.hosts(database)
	host := hosts[c.random.IntN(len(hosts))]
	instance := c.environment.randomInstance(c.random)
	began := time.Now()
	if err := c.openSession(instance, host, credential.key); err != nil {
		c.history.addFailedSession(failedSession{credential.key, credential.workspace, began})
		return
	}
	defer func() { _ = c.conn.Close() }()
	lastWrite := ""
	for range maxSessionOperations {
		select {
		case <-stop:
			return
		case <-c.pause():
		}
		if err := c.changeSession(); err != nil {
			return
		}
		o := operation{
			key: credential.key, workspace: credential.workspace, database: database, lastWrite: lastWrite, instance: instance.Name,
		}
		if err := c.sendOperation(&o); err != nil {
			return
		}
		if o.outcome == acknowledged && len(o.writeIDs) > 0 {
			lastWrite = o.writeIDs[0]
		}
	}
}

// openSession connects to the instance, sends STARTUP and prepares the statements. The
// connection is closed if it fails.
func (c *client) openSession(instance *stager.Process, host, key string) error {
	c.instance = instance.Name
	c.waitFor("for a connection to " + c.instance)
	conn, err := net.DialTimeout("tcp4", instance.Address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.settings = conn, bufio.NewReader(conn), map[string]string{}
	r, err := c.exchange("STARTUP " + host + " " + key)
	if err != nil || r.code != "" {
		c.recordRefusal(host, key, r)
		err = cmp.Or(err, errUnexpectedAnswer)
	} else {
		err = c.prepareStatements()
	}
	if err != nil {
		_ = conn.Close()
	}
	return err
}

// recordRefusal records that a session was refused as if its key or its database were not
// configured, unless the key may have been withdrawn.
func (c *client) recordRefusal(host, key string, r reply) {
	if (r.code != "NOAUTH" && r.code != "NODB") || strings.HasPrefix(key, withdrawableKeyPrefix) {
		return
	}
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	c.history.wronglyRefused = append(c.history.wronglyRefused, fmt.Sprintf("key %q was refused with %s for the database %q", key, r.code, host))
}

// shapeTexts are the shapes of the clients' prepared statements. They differ only in
// characters that a name on the wire cannot have, that may stand for them or that a reader
// may trim.
var shapeTexts = []string{
	"q 2c", "q_2c", "q  2c", "q2c", "q2c\r", "q2c\r\r", " q2c ", "\tq2c", "q2c\n", "q\u00852c", "q\u00a02c", "q\x002c", "q\xff2c", "q\xfe2c",
	"q2c\nQUERY smuggled WRITE item y",
}

// Numbers of operations, or of transactions, of which one does the following.
const (
	setEvery      = 6  // A session value is set before it, or inside of it.
	prepareEvery  = 15 // The names are prepared again before it.
	rollBackEvery = 8
	leaveEvery    = 20 // The client leaves in the middle.
)

var errLeft = errors.New("client has left")

// changeSession sets a session value, or prepares other shapes under the same names.
func (c *client) changeSession() error {
	if c.random.IntN(setEvery) == 0 {
		return c.setValue()
	}
	if c.random.IntN(prepareEvery) > 0 {
		return nil
	}
	for _, name := range []string{"s1", "s2"} {
		if r, err := c.query(c.newID(), "DEALLOCATE "+name); err != nil || r.code != "" {
			return errUnexpectedAnswer
		}
	}
	return c.prepareStatements()
}

// preparedEvery is the number of statement ids of which one is executed as a
// prepared statement where the operation is a single read or write.
const preparedEvery = 3

// prepareStatements prepares a read as s1 and a write as s2. The names are the same for
// all clients, the shapes are not.
func (c *client) prepareStatements() error {
	all := c.environment.soak.texts(shapeTexts)
	c.shape = all[c.random.IntN(len(all))]
	for name, access := range map[string]string{"s1": "READ ", "s2": "WRITE "} {
		r, err := c.query(c.newID(), "PREPARE "+name+" "+access+c.shape)
		if err == nil && r.code != "" {
			err = errors.Wrapf(errUnexpectedAnswer, "PREPARE: %s", r.code)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// executedShape returns the shape that the text executes, or "" if it executes none.
func (c *client) executedShape(text string) string {
	switch {
	case strings.HasPrefix(text, "EXECUTE s1 "):
		return "READ " + c.shape
	case strings.HasPrefix(text, "EXECUTE s2 "):
		return "WRITE " + c.shape
	default:
		return ""
	}
}

// readOrWriteText returns the text of a single read or write, and sets the shape of the
// operation if it is the execution of a prepared statement.
func (c *client) readOrWriteText(o *operation) string {
	isPrepared := c.count%preparedEvery == 0
	switch {
	case isPrepared && len(o.writeIDs) > 0:
		o.shape = "WRITE " + c.shape
		return "EXECUTE s2 " + c.item() + " " + c.text(o.id)
	case isPrepared:
		o.shape = "READ " + c.shape
		return "EXECUTE s1 " + c.item()
	case len(o.writeIDs) > 0:
		return "WRITE " + c.item() + " " + c.text(o.id)
	default:
		return "READ " + c.item()
	}
}

// sendOperation sends one random operation and records it. An error ends the
// session.
func (c *client) sendOperation(o *operation) error {
	o.sent = time.Now()
	var err error
	switch kind := c.random.IntN(10); {
	case kind < 5:
		o.id = c.newID()
		err = c.sendStatement(o, c.readOrWriteText(o))
	case kind < 8:
		o.id = c.newID()
		o.writeIDs = []string{o.id}
		err = c.sendStatement(o, c.readOrWriteText(o))
	default:
		err = c.sendTransaction(o)
	}
	o.answered = time.Now()
	c.history.add(*o)
	return err
}

func (c *client) newID() string {
	c.count++
	return fmt.Sprintf("s%dc%dn%d", c.environment.soak.Seed, c.number, c.count)
}

// sendStatement sends the statement that decides the outcome of the operation, and
// sets the outcome.
func (c *client) sendStatement(o *operation, text string) error {
	o.statementIDs = append(o.statementIDs, o.id)
	r, err := c.query(o.id, text)
	o.code = r.code
	switch {
	case err != nil:
		o.outcome = unknown
	case r.code == "":
		o.outcome = acknowledged
	case isRefusal(r.code):
		o.outcome = refused
	}
	if err == nil && r.state != "I" {
		return errUnexpectedAnswer
	}
	return err
}

// sendTransaction sends a transaction of a read and two writes. It rolls back after
// the first error.
func (c *client) sendTransaction(o *operation) error {
	o.isTransaction = true
	for _, text := range []string{"BEGIN", "WRITE item " + c.text("x"), "EXECUTE s1 " + c.item(), "EXECUTE s2 item " + c.text("y")} {
		id := c.newID()
		r, err := c.query(id, text)
		if strings.HasPrefix(c.executedShape(text)+text, "WRITE") {
			o.writeIDs = append(o.writeIDs, id)
		}
		if text == "BEGIN" {
			o.beginID = id
		}
		o.id, o.code, o.shape = id, r.code, c.executedShape(text)
		o.statementIDs = append(o.statementIDs, id)
		if err != nil || r.code != "" {
			o.outcome = refused // No effect, because COMMIT is never sent.
			if err == nil && text != "BEGIN" {
				_, err = c.query(c.newID(), "ROLLBACK")
			}
			return err
		}
		<-c.pause()
		if c.random.IntN(setEvery) == 0 {
			err = c.setValue()
		}
		if err != nil {
			o.outcome, o.code = refused, "no answer to SET"
			return err
		}
	}
	return c.endTransaction(o)
}

func (c *client) endTransaction(o *operation) error {
	switch {
	case c.random.IntN(leaveEvery) == 0:
		o.outcome, o.code = refused, "nothing, as it left"
		return errLeft
	case c.random.IntN(rollBackEvery) == 0:
		o.outcome, o.code = refused, "ROLLBACK"
		_, err := c.query(c.newID(), "ROLLBACK")
		return err
	}
	o.id, o.shape = c.newID(), ""
	return c.sendStatement(o, "COMMIT")
}

func isRefusal(code string) bool {
	for _, p := range refusalCodes {
		if code == p {
			return true
		}
	}
	return false
}

// query sends a statement, reads its answer and records both.
func (c *client) query(id, text string) (reply, error) {
	r, err := c.exchange("QUERY " + id + " " + text)
	c.history.addStatement(statement{id: id, text: text, shape: c.executedShape(text), settings: c.settings, answered: err == nil, reply: r})
	return r, err
}

// exchange sends a message and reads its answer.
func (c *client) exchange(message string) (reply, error) {
	var r reply
	if c.reader.Buffered() > 0 {
		r.outcomes++ // Of an answer that nothing asked for.
	}
	c.waitFor("for an answer of " + c.instance)
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return r, err
	}
	if _, err := c.conn.Write([]byte(message + "\r\n")); err != nil {
		return r, err
	}
	for {
		answer, err := imitator.ReadMessage(c.reader)
		if err != nil {
			return r, err
		}
		word, rest, found := strings.Cut(answer, " ")
		if !found {
			return r, errUnexpectedAnswer
		}
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
			r.rowsAfter = r.outcomes > 0
		case "COMPLETE":
			r.outcomes++
			r.signature = rest
		case "ERROR":
			r.outcomes++
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, errors.Wrapf(errUnexpectedAnswer, "%.60q", answer)
		}
	}
}
