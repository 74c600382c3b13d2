package starter_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

// Guards against requests that were read and get no answer, because the instance stops (LOST, review/9): clients
// go on opening sessions until its end, as a load balancer with too few other instances lets them, and a
// server does not answer.
func TestStoppingInstanceAnswersWhatItHasRead(t *testing.T) {
	for name, disrupt := range map[string]func(*testPlatform){
		"sessions go on arriving":  func(*testPlatform) {},
		"servers stop to answer":   func(p *testPlatform) { p.eachMember(func(m *imitator.Member) { m.SetUnresponsive(true) }) },
		"servers take no sessions": func(p *testPlatform) { p.eachMember(func(m *imitator.Member) { m.FailWith("BUSY") }) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t)
			p.group.Capacity = imitator.Capacity{Slots: 12, QueueLimit: 24, StatementTime: 60 * time.Millisecond}
			p.routes[1]["timeoutMs"], p.routes[1]["targetLatencyMs"] = 4000, 4000
			p.writeConfiguration()
			i := p.startInstance("one")
			var stopped atomic.Bool
			var clients sync.WaitGroup
			var readers [16]arrivingReader
			for n := range readers {
				clients.Go(func() { readers[n].run(n, i.address, &stopped) })
			}
			waitUntil(t, "reads are served", func() bool { return len(p.group.Executions()) > len(readers) })
			time.AfterFunc(i.Settings.Grace*2/5, func() { disrupt(p) })
			started := time.Now()
			i.Drain(context.Background())
			took := time.Since(started)
			time.Sleep(arrivalTime) // Of the answers that were sent. The process would end now and send no later ones.
			stopped.Store(true)
			i.Close()
			clients.Wait()
			qt.Assert(t, took < i.Settings.Grace, qt.IsTrue, qt.Commentf("%v", took))
			lost := map[string]time.Duration{}
			for n := range readers {
				maps.Copy(lost, readers[n].lost)
			}
			for _, r := range p.group.Executions() {
				_, isLost := lost[r.ID]
				qt.Assert(t, isLost, qt.IsFalse, qt.Commentf("%s ran and was not answered", r.ID))
			}
			for id, after := range lost {
				qt.Assert(t, after <= lossSlack, qt.IsTrue, qt.Commentf("%s was not answered, its connection ended after %v", id, after))
			}
		})
	}
}

// lossSlack is the time in which a request that was not passed on may end without an answer.
const lossSlack = 200 * time.Millisecond

// arrivalTime is the time in which an answer that was sent arrives.
const arrivalTime = 20 * time.Millisecond

// arrivingReader opens a session for each of its reads.
type arrivingReader struct {
	lost map[string]time.Duration // Reads without a whole answer, with the time until their connection ended.
}

func (r *arrivingReader) run(n int, address string, stopped *atomic.Bool) {
	r.lost = map[string]time.Duration{}
	for count := 0; !stopped.Load(); count++ {
		r.read(address, fmt.Sprintf("%04x%012x", n, count), stopped)
		time.Sleep(5 * time.Millisecond)
	}
}

// read reads in a session of its own.
func (r *arrivingReader) read(address, id string, stopped *atomic.Bool) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	reader := bufio.NewReader(conn)
	ask := func(line string) error {
		_, err := fmt.Fprint(conn, line+"\r\n")
		for answer := ""; err == nil && !strings.HasPrefix(answer, "READY"); {
			answer, err = reader.ReadString('\n')
		}
		return err
	}
	if ask("STARTUP catalogue key-1") != nil {
		return
	}
	sent := time.Now()
	if ask("QUERY "+id+" READ x") != nil || stopped.Load() {
		r.lost[id] = time.Since(sent)
	}
}

func (p *testPlatform) eachMember(f func(*imitator.Member)) {
	for _, m := range p.members {
		f(m)
	}
}
