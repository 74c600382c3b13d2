package soaker

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
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
	refused // Guaranteed to have had no effect.
)

// operation is one statement outside of a transaction, or one transaction. The id
// is that of the statement which decides the outcome, such as COMMIT.
type operation struct {
	id, key, workspace, database string
	instance                     string // Name of the instance that it was sent to.
	writeIDs                     []string
	statementIDs                 []string // Statements that were sent.
	shape                        string   // "READ shape" or "WRITE shape" if a prepared statement was executed.
	lastWrite                    string   // Statement id of the last acknowledged write of the session.
	sent, answered               time.Time
	outcome                      outcome
	code                         string
}

// history records the operations of all clients.
type history struct {
	mu         sync.Mutex
	operations []operation
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// client opens sessions at random instances and sends random operations.
type client struct {
	environment *environment
	history     *history
	number      int // Distinguishes the clients in statement ids.
	random      *rand.Rand
	count       int // Number of ids that newID returned.

	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(maxPause)))):
		}
		c.runSession(stop)
	}
}

// runSession opens a session and sends operations until one returns an error, stop
// is closed or the session has sent maxSessionOperations.
func (c *client) runSession(stop <-chan struct{}) {
	credential := keys[c.random.IntN(len(keys))]
	database := []string{"primary", "bounded_staleness", "read_own_writes"}[c.random.IntN(3)]
	instance := c.environment.randomInstance(c.random)
	conn, err := net.DialTimeout("tcp4", instance.Address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if code, _, err := c.exchange("STARTUP " + database + " " + credential.key); err != nil || code != "" {
		return
	}
	if err := c.prepareStatements(); err != nil {
		return
	}
	lastWrite := ""
	for range maxSessionOperations {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(maxPause)))):
		}
		o := operation{key: credential.key, workspace: credential.workspace, database: database, lastWrite: lastWrite, instance: instance.Name}
		if err := c.sendOperation(&o); err != nil {
			return
		}
		if o.outcome == acknowledged && len(o.writeIDs) > 0 {
			lastWrite = o.writeIDs[0]
		}
	}
}

// shapeTexts are the shapes of the clients' prepared statements. They differ only in
// characters that a name on the wire cannot have or that may stand for them.
var shapeTexts = []string{"q 2c", "q_2c", "q  2c", "q2c"}

// preparedEvery is the number of statement ids of which one is executed as a
// prepared statement where the operation is a single read or write.
const preparedEvery = 3

// prepareStatements prepares a read as s1 and a write as s2. The names are the same for
// all clients, the shapes are not.
func (c *client) prepareStatements() error {
	for name, access := range map[string]string{"s1": "READ ", "s2": "WRITE "} {
		code, _, err := c.exchange("QUERY " + c.newID() + " PREPARE " + name + " " + access + c.shapeText())
		if err == nil && code != "" {
			err = errors.Wrapf(errUnexpectedAnswer, "PREPARE: %s", code)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *client) shapeText() string {
	return shapeTexts[c.number%len(shapeTexts)]
}

// readOrWriteText returns the text of a single read or write, and sets the shape of the
// operation if it is the execution of a prepared statement.
func (c *client) readOrWriteText(o *operation) string {
	isPrepared := c.count%preparedEvery == 0
	switch {
	case isPrepared && len(o.writeIDs) > 0:
		o.shape = "WRITE " + c.shapeText()
		return "EXECUTE s2 item " + o.id
	case isPrepared:
		o.shape = "READ " + c.shapeText()
		return "EXECUTE s1 item"
	case len(o.writeIDs) > 0:
		return "WRITE item " + o.id
	default:
		return "READ item"
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
	code, state, err := c.exchange("QUERY " + o.id + " " + text)
	o.code = code
	switch {
	case err != nil:
		o.outcome = unknown
	case code == "":
		o.outcome = acknowledged
	case isRefusal(code):
		o.outcome = refused
	}
	if err == nil && state != "I" {
		return errUnexpectedAnswer
	}
	return err
}

// sendTransaction sends a transaction of a read and two writes. It rolls back after
// the first error.
func (c *client) sendTransaction(o *operation) error {
	for _, text := range []string{"BEGIN", "WRITE item x", "READ item", "WRITE item y"} {
		id := c.newID()
		code, _, err := c.exchange("QUERY " + id + " " + text)
		if strings.HasPrefix(text, "WRITE") {
			o.writeIDs = append(o.writeIDs, id)
		}
		o.id, o.code = id, code
		o.statementIDs = append(o.statementIDs, id)
		if err != nil || code != "" {
			o.outcome = refused // No effect, because COMMIT is never sent.
			if err == nil && text != "BEGIN" {
				_, _, err = c.exchange("QUERY " + c.newID() + " ROLLBACK")
			}
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
	o.id = c.newID()
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

// exchange sends a line and reads its answer. It returns the error code, "" on
// success, and the transaction state of the session.
func (c *client) exchange(line string) (code, state string, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", "", err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return "", "", err
	}
	for {
		answer, err := c.reader.ReadString('\n')
		if err != nil {
			return code, "", err
		}
		words := strings.Fields(answer)
		switch {
		case len(words) < 2:
			return code, "", errUnexpectedAnswer
		case words[0] == "ERROR":
			code = words[1]
		case words[0] == "READY":
			return code, words[1], nil
		}
	}
}
