package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

var errProtocol = errors.New("answer does not follow the line protocol")

// session is a client session.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got for one statement.
type answer struct {
	code, signature, state, position string // An empty code is a success.
	rows, bytes                      int
	row                              string // The last one.
}

// startupWait is the time after which a client gives up a session that isn't ready.
const startupWait = 2 * time.Second

// dial opens a session.
func dial(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", address, startupWait) //nolint:gosec // A loopback address.
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	a, err := s.exchange("STARTUP "+database+" "+clientKey, startupWait)
	if err == nil && a.code != "" {
		err = fmt.Errorf("refused: %s", a.code)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and returns its answer.
func (s *session) query(id, text string, wait time.Duration) (answer, error) {
	return s.exchange("QUERY "+id+" "+text, wait)
}

func (s *session) exchange(message string, wait time.Duration) (answer, error) {
	var a answer
	if err := s.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return a, err
	}
	if _, err := s.conn.Write([]byte(message + "\r\n")); err != nil {
		return a, err
	}
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows++
			a.bytes += len(rest)
			a.row = rest
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
			if strings.HasPrefix(message, "STARTUP") {
				return a, nil
			}
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, errProtocol
		}
	}
}

func (s *session) close() {
	_ = s.conn.Close()
}
