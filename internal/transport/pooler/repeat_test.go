package pooler_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/pooler"
)

// queryTag runs a statement and returns the command tag of its response.
func queryTag(t *testing.T, c *pooler.Conn, sql string) (tag string) {
	t.Helper()
	_, err := c.Write(framer.AppendText(nil, 'Q', sql))
	qt.Assert(t, err, qt.IsNil)
	for {
		kind, frame, err := c.Reader.Next()
		qt.Assert(t, err, qt.IsNil)
		if kind == 'C' {
			tag = string(frame[framer.HeaderSize : len(frame)-1])
		}
		c.Reader.Consume()
		if kind == 'Z' {
			c.Status = 'I'
			return tag
		}
	}
}

// Guards against a ReadyForQuery that ends the login twice and shifts the
// responses to all later statements.
func TestRepeatedEndOfLogin(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		b := pgproto3.NewBackend(nc, nc)
		if _, err := b.ReceiveStartupMessage(); err != nil {
			return
		}
		b.Send(&pgproto3.AuthenticationOk{})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		for b.Flush() == nil {
			if _, err := b.Receive(); err != nil {
				return
			}
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}()
	_, err = newPooler(t, 1).Acquire(testContext(t), pooler.Target{Server: "s", Address: l.Addr().String()}, "shop")
	qt.Assert(t, errors.Is(err, pooler.ErrConnect), qt.IsTrue)
}

// Guards against a repeated response to the reset of a connection that the next
// statement gets as its own.
func TestRepeatedResponseToReset(t *testing.T) {
	for _, fault := range []backendserver.Faults{
		{RepeatResponses: 1, RepeatSQL: "DISCARD"},
		{RepeatResponses: 1, RepeatSQL: "DISCARD", RepeatLate: true},
		{RepeatResponses: 1, RepeatSQL: "SET"},
		{RepeatResponses: 2},
	} {
		s, target := startServer(t, nil)
		p := newPooler(t, 2)
		c, err := p.Acquire(testContext(t), target, "shop")
		qt.Assert(t, err, qt.IsNil)
		p.Release(c, true)
		s.SetFaults(fault)
		c, err = p.Acquire(testContext(t), target, "desk")
		if err != nil {
			qt.Check(t, errors.Is(err, pooler.ErrConnect), qt.IsTrue)
			continue
		}
		qt.Check(t, queryTag(t, c, "SELECT 1"), qt.Equals, "SELECT 1", qt.Commentf("%+v", fault))
		p.Release(c, true)
	}
}

// Guards against a connection that is lent again although its server has repeated a
// response, of which a further repeat could arrive late.
func TestServerThatRepeatsIsNotReused(t *testing.T) {
	s, target := startServer(t, nil)
	p := newPooler(t, 4)
	now := time.Now()
	p.Now = func() time.Time { return now }
	var reported []identifier.BackendServerID
	p.OnOutOfStep = func(server identifier.BackendServerID, _ string) { reported = append(reported, server) }
	acquire := func() *pooler.Conn {
		c, err := p.Acquire(testContext(t), target, "shop")
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	idle, c := acquire(), acquire()
	p.Release(idle, true)
	s.SetFaults(backendserver.Faults{RepeatResponses: 1})
	qt.Assert(t, queryTag(t, c, "SELECT 1"), qt.Equals, "SELECT 1")
	p.Release(c, true)
	qt.Assert(t, reported, qt.DeepEquals, []identifier.BackendServerID{"s"})
	qt.Assert(t, p.Open("s"), qt.Equals, 0)
	for _, step := range []struct {
		after  time.Duration
		reused bool
	}{{0, false}, {59 * time.Second, false}, {time.Second, true}} {
		now = now.Add(step.after)
		c = acquire()
		p.Release(c, true)
		qt.Assert(t, p.Open("s") == 1, qt.Equals, step.reused)
	}
	qt.Assert(t, acquire(), qt.Equals, c)

	p.Release(c, true)
	qt.Assert(t, s.Kill(true), qt.IsNil)
	qt.Assert(t, s.Restart(), qt.IsNil)
	p.Release(acquire(), true)
	qt.Assert(t, reported, qt.HasLen, 1) // A closed connection is no repeat.
}

// Guards against a credential with a zero byte that ends early, after which its rest is
// read as another parameter.
func TestZeroByteInCredentials(t *testing.T) {
	s, target := startServer(t, nil)
	for _, p := range []*pooler.Pooler{
		{User: "proxy\x00shop.note\x00x", Password: "secret"},
		{User: "proxy", Password: "secret\x00x"},
		{User: "proxy", Password: "secret", DataCentre: "a\x00b"},
	} {
		_, err := p.Acquire(testContext(t), target, "shop")
		qt.Check(t, err, qt.ErrorMatches, ".*zero byte.*")
		p.Close()
	}
	for _, l := range s.Logins() {
		qt.Check(t, l.Parameters["shop.note"], qt.Equals, "")
	}
}
