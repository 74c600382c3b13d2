package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

var errNoSession = errors.New("the session was refused")

// client is one session at an instance.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	rows      []string
	signature string
	code      string // Empty for a success.
	state     byte
}

// connect opens a session.
func connect(address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %s", errNoSession, strings.TrimSpace(line))
	}
	return c, nil
}

func (c *client) close() {
	_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
}

// newID returns the id of a statement.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// query runs one statement.
func (c *client) query(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state = rest[0]
			return a, nil
		}
	}
}
