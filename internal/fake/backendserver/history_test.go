package backendserver_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/historian"
	"oleanderpulley/internal/state/identifier"
)

var operationInSQL = regexp.MustCompile(`VALUES \('w', '([^']+)'`)

// failoverTrial runs writers against a group whose primary is replaced
// repeatedly.
type failoverTrial struct {
	t       *testing.T
	servers []*backendserver.Server
	begin   time.Time
	history historian.History
	done    chan struct{}
	writers sync.WaitGroup

	mu      sync.Mutex
	primary int
}

func (tr *failoverTrial) currentPrimary() *backendserver.Server {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.servers[tr.primary]
}

// insertRequests inserts unique requests at the current primary until done is
// closed, and adds the outcomes to the history.
func (tr *failoverTrial) insertRequests(name string) {
	defer tr.writers.Done()
	var c *pgx.Conn
	var server *backendserver.Server
	for i := 0; ; i++ {
		select {
		case <-tr.done:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if s := tr.currentPrimary(); c == nil || s != server || c.IsClosed() {
			if c != nil {
				_ = c.Close(ctx)
			}
			server = s
			c, _ = pgx.Connect(ctx, connectionURL(s, "&application_name="+name))
		}
		if c != nil {
			w := historian.Write{
				Operation: fmt.Sprintf("%s-%d", name, i), Session: name, Service: "m", Workspace: "w", Key: "requests",
				Sent: time.Since(tr.begin), Outcome: historian.Unknown,
			}
			w.RequestID = identifier.RequestID(w.Operation)
			_, err := c.Exec(ctx, "INSERT INTO oleanderpulley_requests VALUES ('w', '"+w.Operation+"', '')")
			w.Answered = time.Since(tr.begin)
			if err == nil {
				w.Outcome = historian.Acknowledged
			}
			tr.history.Add(w)
		}
		cancel()
	}
}

// replacePrimary partitions or kills the primary, and promotes the member with
// the most advanced log. The old primary then follows the new one.
func (tr *failoverTrial) replacePrimary(term uint64, kill bool) {
	t := tr.t
	old, oldIndex := tr.currentPrimary(), tr.primary
	if kill {
		qt.Assert(t, old.Kill(true), qt.IsNil)
	} else {
		old.SetFaults(backendserver.Faults{CutMembers: []string{"m-1", "m-2", "m-3"}})
	}
	next := -1
	for i, s := range tr.servers {
		if s == old {
			continue
		}
		qt.Assert(t, s.Fence(term, "test"), qt.IsNil)
		st := s.Status()
		tr.history.Add(historian.Receipt{
			Service: "m", Server: identifier.BackendServerID(s.ID), Survived: true,
			Position: identifier.Position{
				Term: identifier.Term(st.Term), Offset: identifier.LogOffset(min(st.Received, termEnd(old.Status().History, st.Term))),
			},
		})
		best := st
		if next >= 0 {
			best = tr.servers[next].Status()
		}
		if next < 0 || st.Term > best.Term || st.Term == best.Term && st.Received > best.Received {
			next = i
		}
	}
	qt.Assert(t, tr.servers[next].Promote(term, "test"), qt.IsNil)
	address := tr.servers[next].Address()
	other := 3 - oldIndex - next
	qt.Assert(t, tr.servers[other].Follow(term, address), qt.IsNil)
	tr.mu.Lock()
	tr.primary = next
	tr.mu.Unlock()
	if kill {
		qt.Assert(t, old.Restart(), qt.IsNil)
	}
	old.SetFaults(backendserver.Faults{})
	qt.Assert(t, old.Fence(term, "test"), qt.IsNil)
	qt.Assert(t, old.Follow(term, address), qt.IsNil)
}

// termEnd returns the offset at which the next term after the given one begins. An earlier
// primary that has not followed the present one yet still has the commits that it made after
// that offset. Its replacement discarded them.
func termEnd(history []backendserver.TermStart, term uint64) uint64 {
	for _, h := range history {
		if h.Term > term {
			return h.Offset
		}
	}
	return math.MaxUint64
}

// Guards against replication that loses received commits, keeps discarded ones
// or leaves members with different data, when the primary is replaced several
// times under writes. A fixed seed decides whether each replacement is a kill
// or a partition.
func TestHistoryOverFailovers(t *testing.T) {
	tr := &failoverTrial{t: t, begin: time.Now(), done: make(chan struct{})}
	tr.servers = startGroup(t, 3, func(s *backendserver.Server) { s.ReceiveLag, s.ApplyLag = 2*time.Millisecond, 5*time.Millisecond })
	for i := range 4 {
		tr.writers.Add(1)
		go tr.insertRequests(fmt.Sprintf("c%d", i))
	}
	random := rand.New(rand.NewPCG(7, 7))
	for term := uint64(2); term < 10; term++ {
		progress := tr.currentPrimary().Status().Received + uint64(random.IntN(20_000))
		waitFor(t, "the primary has received more writes", func() bool { return tr.currentPrimary().Status().Received >= progress })
		tr.replacePrimary(term, random.IntN(2) == 0)
	}
	close(tr.done)
	tr.writers.Wait()
	primary := tr.currentPrimary()
	final := historian.FinalState{
		Service: "m", History: primary.Status().History, Received: identifier.LogOffset(primary.Status().Received),
		Values: map[string][]string{"requests": requestIDs(t, primary)},
	}
	tr.history.Add(final)
	for _, s := range tr.servers {
		waitCaughtUp(t, primary, s)
		qt.Check(t, requestIDs(t, s), qt.DeepEquals, final.Values["requests"])
		tr.history.AddRecords("m", s.Records(), func(r backendserver.Record) (string, identifier.RequestID) {
			if m := operationInSQL.FindStringSubmatch(r.SQL); m != nil && r.SQLState == "" {
				return m[1], identifier.RequestID(m[1])
			}
			return "", ""
		})
	}
	qt.Assert(t, len(tr.history.Writes) > 100, qt.IsTrue)
	qt.Assert(t, tr.history.Check(), qt.HasLen, 0)
}

func requestIDs(t *testing.T, s *backendserver.Server) (list []string) {
	rows, err := connect(t, s, "").Query(testContext(t), "SELECT request_id FROM oleanderpulley_requests WHERE workspace = 'w'")
	qt.Assert(t, err, qt.IsNil)
	list, err = pgx.CollectRows(rows, pgx.RowTo[string])
	qt.Assert(t, err, qt.IsNil)
	return list
}
