package player

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errSession = errors.New("session ended")

// dialLimit bounds the opening of a session.
const dialLimit = time.Second

// request is what one caller got.
type request struct {
	id, route, workspace string
	write                bool
	sent                 time.Duration // From the start of the day.
	took                 time.Duration
	code                 string // "" for success, "none" without an answer.
	overRate             bool   // Refused for the rate of its workspace.
}

// history collects the requests of a day.
type history struct {
	mu  sync.Mutex
	all []request
}

func (h *history) add(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, r)
}

// source sends the requests of one workspace on one route.
type source struct {
	stage     *stage
	history   *history
	route     Route
	workspace Workspace
	isFirst   bool // Its load follows the stage's flood.
	perSecond float64
	random    *rand.Rand
	start     time.Time

	requests sync.WaitGroup
	mu       sync.Mutex
	idle     []*session
	count    int
}

// run sends requests at exponential distances until the day ends, and waits for
// their answers.
func (c *source) run(ctx context.Context) {
	end := c.start.Add(c.stage.day.Length.Duration())
	for next := c.start; ctx.Err() == nil; {
		rate := c.perSecond
		if c.isFirst {
			rate *= float64(c.stage.flood.Load()) / floodUnit
		}
		next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		c.count++
		r := request{
			id: fmt.Sprintf("%s-%s-%d", c.route.Name, c.workspace.Name, c.count), route: c.route.Name,
			workspace: c.workspace.Name, write: c.random.Float64() < c.route.WriteShare, sent: next.Sub(c.start),
		}
		instance := c.random.IntN(len(c.stage.instances))
		c.requests.Go(func() { c.send(r, instance) })
	}
	c.requests.Wait()
	for _, s := range c.idle {
		_ = s.conn.Close()
	}
}

// send sends a request on an idle session, or on a new one to the instance.
func (c *source) send(r request, instance int) {
	due := c.start.Add(r.sent)
	s, err := c.session(instance)
	text := "READ item"
	if r.write {
		text = "WRITE item " + r.id
	}
	if err == nil {
		r.code, r.overRate, err = s.ask("QUERY "+r.id+" "+text, due.Add(2*c.route.Timeout.Duration()))
	}
	if err != nil {
		r.code = "none"
		if s != nil {
			_ = s.conn.Close()
		}
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, s)
		c.mu.Unlock()
	}
	r.took = time.Since(due)
	c.history.add(r)
}

func (c *source) session(instance int) (*session, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		s := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return s, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", c.stage.instances[instance].Address, dialLimit)
	if err != nil {
		return nil, errors.Wrap(errSession, err.Error())
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	code, _, err := s.ask("STARTUP "+c.route.Name+" key-"+c.workspace.Name, time.Now().Add(dialLimit))
	if err == nil && code != "" {
		err = errors.Wrap(errSession, code)
	}
	return s, err
}

// session is a connection of the line protocol.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ask sends a line and reads its answer.
func (s *session) ask(line string, deadline time.Time) (code string, overRate bool, err error) {
	if err := s.conn.SetDeadline(deadline); err != nil {
		return "", false, errors.Wrap(errSession, err.Error())
	}
	if _, err := s.conn.Write([]byte(line + "\r\n")); err != nil {
		return "", false, errors.Wrap(errSession, err.Error())
	}
	for {
		answer, err := s.reader.ReadString('\n')
		if err != nil {
			return "", false, errors.Wrap(errSession, err.Error())
		}
		word, rest, _ := strings.Cut(strings.TrimSpace(answer), " ")
		switch word {
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
			overRate = strings.Contains(rest, "over the rate")
		case "READY":
			return code, overRate, nil
		}
	}
}
