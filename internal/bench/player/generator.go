package player

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/platform/imitator"
)

var errSessionFailed = errors.New("session failed")

// sessionTimeout limits the TCP connect and, separately, the startup of a session.
const sessionTimeout = time.Second

// request is one request and its result.
type request struct {
	id, route, workspace string
	write                bool
	sent                 time.Duration // Scheduled time, from the start of the day.
	latency              time.Duration // From the scheduled time to the answer.
	code                 string        // Error code, "" for success or "none" without an answer.
	overRate             bool          // Refused for the rate of its workspace, whatever the stated cause.
}

// history collects the requests of a day.
type history struct {
	mu       sync.Mutex
	requests []request
}

func (h *history) add(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// generator generates the load of one workspace on one route.
type generator struct {
	environment  *environment
	history      *history
	route        Route
	workspace    Workspace
	followsFlood bool // Its rate is multiplied by the flood factor.
	perSecond    float64
	random       *rand.Rand
	start        time.Time

	requests sync.WaitGroup
	mu       sync.Mutex
	idle     []*session
	count    int
}

// run sends requests with exponentially distributed gaps until the day ends, and
// waits for their answers.
func (g *generator) run(ctx context.Context) {
	end := g.start.Add(g.environment.day.Length.Duration())
	for next := g.start; ctx.Err() == nil; {
		rate := g.perSecond
		if g.followsFlood {
			rate *= float64(g.environment.floodFactor.Load()) / floodScale
		}
		next = next.Add(time.Duration(g.random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		g.count++
		r := request{
			id: fmt.Sprintf("%s-%s-%d", g.route.Name, g.workspace.Name, g.count), route: g.route.Name,
			workspace: g.workspace.Name, write: g.random.Float64() < g.route.WriteShare, sent: next.Sub(g.start),
		}
		instance := g.random.IntN(len(g.environment.instances))
		g.requests.Go(func() { g.send(r, instance) })
	}
	g.requests.Wait()
	for _, s := range g.idle {
		_ = s.conn.Close()
	}
}

// send sends a request on an idle session, or on a new one to the instance, and
// records its result.
func (g *generator) send(r request, instance int) {
	due := g.start.Add(r.sent)
	s, err := g.takeSession(instance)
	text := "READ item"
	if r.write {
		text = "WRITE item " + r.id
	}
	if err == nil {
		r.code, r.overRate, err = s.exchange("QUERY "+r.id+" "+text, due.Add(2*g.route.Timeout.Duration()))
	}
	if err != nil {
		r.code = "none"
		if s != nil {
			_ = s.conn.Close()
		}
	} else {
		g.mu.Lock()
		g.idle = append(g.idle, s)
		g.mu.Unlock()
	}
	r.latency = time.Since(due)
	g.history.add(r)
}

// takeSession returns an idle session, or opens one to the instance. With an error
// it may return a session that must be closed.
func (g *generator) takeSession(instance int) (*session, error) {
	g.mu.Lock()
	if n := len(g.idle); n > 0 {
		s := g.idle[n-1]
		g.idle = g.idle[:n-1]
		g.mu.Unlock()
		return s, nil
	}
	g.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", g.environment.instances[instance].Address, sessionTimeout)
	if err != nil {
		return nil, errors.Wrap(errSessionFailed, err.Error())
	}
	s := &session{conn: conn, reader: bufio.NewReader(conn)}
	code, _, err := s.exchange("STARTUP "+g.route.Name+" key-"+g.workspace.Name, time.Now().Add(sessionTimeout))
	if err == nil && code != "" {
		err = errors.Wrap(errSessionFailed, code)
	}
	return s, err
}

// session is a client connection of the line protocol.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a line and reads its answer up to READY. It returns the error code,
// "" on success, and whether the error was a refusal for the rate.
func (s *session) exchange(line string, deadline time.Time) (code string, overRate bool, err error) {
	if err := s.conn.SetDeadline(deadline); err != nil {
		return "", false, errors.Wrap(errSessionFailed, err.Error())
	}
	if _, err := s.conn.Write([]byte(line + "\r\n")); err != nil {
		return "", false, errors.Wrap(errSessionFailed, err.Error())
	}
	for {
		answer, err := imitator.ReadMessage(s.reader)
		if err != nil {
			return "", false, errors.Wrap(errSessionFailed, err.Error())
		}
		word, rest, _ := strings.Cut(answer, " ")
		switch word {
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
			overRate = isRateRefusal(rest)
		case "READY":
			return code, overRate, nil
		}
	}
}

// isRateRefusal reports whether the text of an error states one of the causes for
// which the rate limit refuses a statement.
func isRateRefusal(text string) bool {
	return slices.ContainsFunc([]error{
		ratelimiter.ErrOverRate, ratelimiter.ErrTokensElsewhere, ratelimiter.ErrNoOwner, ratelimiter.ErrOwnerStarting,
	}, func(cause error) bool { return strings.Contains(text, cause.Error()) })
}
