package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/platform/imitator"
)

// answer is what a client got for one statement.
type answer struct {
	rows   []string
	done   string // The outcome, "COMPLETE signature" or "ERROR code text".
	ready  string // State and position.
	sentAt time.Time
	at     time.Time
}

func (a answer) ok() bool {
	return strings.HasPrefix(a.done, "COMPLETE ")
}

// session is a client's connection to an instance.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

var lastID atomic.Uint64

// newID returns an id that no other statement of this process has.
func newID() string {
	return fmt.Sprintf("%016x", lastID.Add(1))
}

// open connects and sends STARTUP.
func open(address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second) //nolint:gosec // A loopback address.
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		s.close()
		return nil, err
	}
	message, err := imitator.ReadMessage(s.reader)
	if err == nil && !strings.HasPrefix(message, "READY ") {
		err = errors.New(message)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() {
	_ = s.conn.Close()
}

// ask sends one statement and reads its answer. An error means that there was no whole
// answer.
func (s *session) ask(id, text string, limit time.Duration) (answer, error) {
	a := answer{sentAt: time.Now()}
	_ = s.conn.SetDeadline(a.sentAt.Add(limit))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		message, err := imitator.ReadMessage(s.reader)
		if err != nil {
			a.at = time.Now()
			return a, err
		}
		word, rest, _ := strings.Cut(message, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE", "ERROR":
			a.done = message
		case "READY":
			a.ready, a.at = rest, time.Now()
			return a, nil
		}
	}
}
