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
	// staleness is what the routes with a bound accept.
	staleness = 1500 * time.Millisecond
	// answerLimit is the time for which a caller waits for an answer.
	answerLimit = 2 * time.Second
	pauseMost   = 30 * time.Millisecond
	sessionMost = 40 // Operations of one session.
)

var errAnswer = errors.New("answer is not whole")

// promises are the codes that say that nothing is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "NODB", "NOAUTH", "NOSTMT", "MALFORMED"}

// outcome is what a caller was told of an operation.
type outcome int

const (
	unknown outcome = iota
	acknowledged
	refused // With a promise that nothing is kept.
)

// operation is one statement outside of a transaction, or a transaction with
// the ids of its writes.
type operation struct {
	id, key, workspace, database string
	instance                     string // To which it was sent.
	writes                       []string
	ids                          []string // Of the statements that were sent.
	after                        string   // The last acknowledged write of the session.
	sent, answered               time.Time
	outcome                      outcome
	code                         string
}

// history collects what the callers saw.
type history struct {
	mu  sync.Mutex
	all []operation
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, o)
}

// caller opens sessions at random instances and sends operations.
type caller struct {
	world   *world
	history *history
	number  int
	random  *rand.Rand
	count   int

	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(pauseMost)))):
		}
		c.session(stop)
	}
}

// session sends operations until one fails, the connection ends or its number
// is reached.
func (c *caller) session(stop <-chan struct{}) {
	k := keys[c.random.IntN(len(keys))]
	database := []string{"primary", "bounded_staleness", "read_own_writes"}[c.random.IntN(3)]
	p := c.world.any(c.random)
	conn, err := net.DialTimeout("tcp4", p.Address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c.conn, c.reader = conn, bufio.NewReader(conn)
	if code, _, err := c.ask("STARTUP " + database + " " + k.key); err != nil || code != "" {
		return
	}
	after := ""
	for range sessionMost {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(pauseMost)))):
		}
		o := operation{key: k.key, workspace: k.workspace, database: database, after: after, instance: p.Name}
		if err := c.operate(&o); err != nil {
			return
		}
		if o.outcome == acknowledged && len(o.writes) > 0 {
			after = o.writes[0]
		}
	}
}

// operate sends one operation and records it. An error ends the session.
func (c *caller) operate(o *operation) error {
	o.sent = time.Now()
	var err error
	switch kind := c.random.IntN(10); {
	case kind < 5:
		o.id = c.newID()
		err = c.statement(o, "READ item")
	case kind < 8:
		o.id = c.newID()
		o.writes = []string{o.id}
		err = c.statement(o, "WRITE item "+o.id)
	default:
		err = c.transaction(o)
	}
	o.answered = time.Now()
	c.history.add(*o)
	return err
}

func (c *caller) newID() string {
	c.count++
	return fmt.Sprintf("s%dc%dn%d", c.world.soak.Seed, c.number, c.count)
}

// statement sends the statement that decides the operation's outcome.
func (c *caller) statement(o *operation, text string) error {
	o.ids = append(o.ids, o.id)
	code, state, err := c.ask("QUERY " + o.id + " " + text)
	o.code = code
	switch {
	case err != nil:
		o.outcome = unknown
	case code == "":
		o.outcome = acknowledged
	case isPromise(code):
		o.outcome = refused
	}
	if err == nil && state != "I" {
		return errAnswer
	}
	return err
}

func (c *caller) transaction(o *operation) error {
	for _, text := range []string{"BEGIN", "WRITE item x", "READ item", "WRITE item y"} {
		id := c.newID()
		code, _, err := c.ask("QUERY " + id + " " + text)
		if strings.HasPrefix(text, "WRITE") {
			o.writes = append(o.writes, id)
		}
		o.id, o.code = id, code
		o.ids = append(o.ids, id)
		if err != nil || code != "" {
			o.outcome = refused // Its commit is never sent.
			if err == nil && text != "BEGIN" {
				_, _, err = c.ask("QUERY " + c.newID() + " ROLLBACK")
			}
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(pauseMost))))
	}
	o.id = c.newID()
	return c.statement(o, "COMMIT")
}

func isPromise(code string) bool {
	for _, p := range promises {
		if code == p {
			return true
		}
	}
	return false
}

// ask sends a line and reads its answer: the code of an error, "" on success,
// and the state of the session.
func (c *caller) ask(line string) (code, state string, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(answerLimit)); err != nil {
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
			return code, "", errAnswer
		case words[0] == "ERROR":
			code = words[1]
		case words[0] == "READY":
			return code, words[1], nil
		}
	}
}
