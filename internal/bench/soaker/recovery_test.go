package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/stager"
	"oleanderpulley/platform/imitator"
)

// Guards against "0 of 0 operations": an operation that is answered after the end of the
// load moved the last window to a time at which no client sent anything.
func TestLateAnswerDoesNotMoveTheLastWindow(t *testing.T) {
	h := &history{}
	for i := range 100 {
		sent := at(8 + float64(i)/50)
		h.add(operation{workspace: "shops", sent: sent, answered: sent.Add(time.Millisecond), outcome: acknowledged})
	}
	h.add(operation{workspace: "shops", sent: at(9.99), answered: at(9.99).Add(answerTimeout + time.Millisecond), outcome: unknown})
	qt.Assert(t, h.recoveryIn(at(8), at(10)), qt.Equals, recovery{attempts: 101, served: 100})
}

// Guards against a fleet that does not serve after the faults and passes, and against one
// that is blamed although no client tried.
func TestRecoveryOfAFleet(t *testing.T) {
	var operations []operation
	var sessions []failedSession
	for i := range 30 {
		operations = append(operations, operation{workspace: "shops", sent: at(8 + float64(i)/20), outcome: acknowledged})
		sessions = append(sessions, failedSession{workspace: "fitters", began: at(8 + float64(i)/20)})
	}
	refusedAll := append([]operation{}, operations...)
	for i := range refusedAll {
		refusedAll[i].outcome = refused
	}
	excluded := []operation{{workspace: "desks", sent: at(9)}, {workspace: "shops", key: withdrawableKeyPrefix + "1", sent: at(9)}}
	for name, test := range map[string]struct {
		operations   []operation
		sessions     []failedSession
		failed, idle bool
	}{
		"served":                      {operations: operations},
		"half served":                 {operations: operations, sessions: sessions},
		"less than half served":       {operations: operations[:28], sessions: sessions, failed: true},
		"operations refused":          {operations: refusedAll, failed: true},
		"one operation, refused":      {operations: refusedAll[:1], failed: true},
		"sessions refused":            {sessions: sessions, failed: true},
		"one session, refused":        {sessions: sessions[:1], failed: true},
		"nothing sent":                {idle: true},
		"nothing sent that counts":    {operations: excluded, idle: true},
		"too few sent, all served":    {operations: operations[:minLastAttempts-1], idle: true},
		"just enough sent and served": {operations: operations[:minLastAttempts]},
	} {
		t.Run(name, func(t *testing.T) {
			r := (&history{operations: test.operations, failedSessions: test.sessions}).recoveryIn(at(8), at(10))
			qt.Assert(t, r.isFailed(), qt.Equals, test.failed, qt.Commentf("%+v", r))
			qt.Assert(t, r.isIdle(), qt.Equals, test.idle, qt.Commentf("%+v", r))
		})
	}
}

// newTestLoad returns the load of some clients on one instance, whose sessions the function
// serves.
func newTestLoad(t *testing.T, serve func(net.Conn)) *load {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, l.Close(), qt.IsNil) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	e := &environment{keys: plainKeys[:1], instances: []*stager.Process{{Name: instanceName(0), Address: l.Addr().String()}}}
	h := &history{}
	started := &load{history: h}
	for i := range 8 {
		started.clients = append(started.clients, &client{environment: e, history: h, number: i, random: rand.New(rand.NewPCG(1, uint64(i)))})
	}
	return started
}

func serveAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := imitator.ReadMessage(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "COMPLETE sig\r\nREADY I 1.1\r\n"); err != nil {
			return
		}
	}
}

func serveNothing(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// Guards against a run that fails because its clients could not send for a moment, and
// against one that hides it.
func TestIdleWindowIsFollowedByAnother(t *testing.T) {
	l := newTestLoad(t, serveAll)
	l.start()
	idle, broken := l.endRecovered(context.Background(), time.Now())
	qt.Assert(t, broken, qt.HasLen, 0)
	qt.Assert(t, idle, qt.HasLen, 1)
	qt.Assert(t, l.history.recoveryIn(time.Now().Add(-2*lastWindow), time.Now()).isIdle(), qt.IsFalse)
}

// Guards against a run that passes although its clients never sent anything after the
// faults.
func TestIdleLoadFails(t *testing.T) {
	l := &load{history: &history{}, clients: []*client{{}}}
	l.clients[0].waitFor("for an answer of entry-0")
	l.stop = make(chan struct{})
	_, broken := l.endRecovered(context.Background(), time.Now().Add(-recoveryLimit))
	qt.Assert(t, broken, qt.HasLen, 1)
	qt.Assert(t, broken[0], qt.Matches, `idle: within 30s after the faults, .*for an answer of entry-0: 1, up to \d+s`)
}

// Guards against a fleet that gives no answers and is taken for an idle load.
func TestSilentFleetFails(t *testing.T) {
	l := newTestLoad(t, serveNothing)
	l.start()
	sleep(context.Background(), lastWindow/2)
	idle, broken := l.endRecovered(context.Background(), time.Now())
	qt.Assert(t, idle, qt.HasLen, 0)
	qt.Assert(t, broken, qt.HasLen, 1)
	qt.Assert(t, broken[0], qt.Matches, fmt.Sprintf(`end: after the faults, 0 of %d operations were served; .*for an answer of entry-0: 8, up to .*`, len(l.clients)))
}
