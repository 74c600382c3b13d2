package main

import (
	"fmt"
	"strings"
)

// preparedRounds is the number of times that each session executes its statement.
const preparedRounds = 20

// preparedSession is one session with its prepared statement.
type preparedSession struct {
	client *client
	shape  string
}

// playPrepared lets two sessions of one tenant prepare a statement of the same name
// with different shapes and execute it by turns. Without the trouble, both sessions
// prepare the same shape.
func playPrepared(w *world) (broken bool, err error) {
	shapes := []string{"q_2c", "q 2c"}
	if !w.trouble {
		shapes[1] = shapes[0]
	}
	var sessions []preparedSession
	for _, shape := range shapes {
		c, err := connect(w.instances[0].client, boundedRoute, tenantKey)
		if err != nil {
			return false, err
		}
		defer c.close()
		if a, err := c.query(newID(), "PREPARE s1 READ "+shape); err != nil || a.code != "" {
			return false, fmt.Errorf("%w: PREPARE was answered %q, %w", errNotReady, a.code, err)
		}
		sessions = append(sessions, preparedSession{c, shape})
	}
	wrong, served := 0, 0
	for range preparedRounds {
		for i, s := range sessions {
			id := newID()
			a, err := s.client.query(id, "EXECUTE s1 1a4")
			w.record.event("client %d: EXECUTE %s of the shape [READ %s]: rows %v, signature %s, code %q, %v", i+1, id, s.shape, a.rows, a.signature, a.code, err)
			if err != nil || a.code != "" {
				continue
			}
			served++
			if len(a.rows) != 1 || !strings.HasPrefix(a.rows[0], "shape=["+s.shape+"] ") {
				wrong++
				w.record.event("PINNED: client %d prepared the shape [%s] and got the rows of another one: %v", i+1, s.shape, a.rows)
			}
		}
	}
	fmt.Printf("%d executions served, %d of them ran another shape\n", served, wrong)
	w.record.event("%d executions served, %d of them ran another shape", served, wrong)
	if served == 0 {
		return false, errNotReady
	}
	return wrong > 0, nil
}
