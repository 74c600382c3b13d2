package runner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/command/runner"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/coordination/router"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// arrivalLimit is how much later a statement may be recorded at a backend server
// than an instance sent it.
const arrivalLimit = 300 * time.Millisecond

// evacuationTrial is an installation with one backend server in each data centre
// and a session at each instance that reads and writes.
type evacuationTrial struct {
	t        *testing.T
	launcher *launcher.Launcher
	sessions sync.WaitGroup
	changes  int
	killed   atomic.Bool // An instance was killed.

	mu         sync.Mutex
	unexpected []string // Errors that promise neither "not run" nor an unknown outcome.
}

// startEvacuationTrial starts an installation. The instance that performs the first
// replacement of a primary is killed after the given step; "" kills none.
func startEvacuationTrial(t *testing.T, killedAfter promoter.Step) *evacuationTrial {
	tr := &evacuationTrial{t: t}
	var once sync.Once
	release, killed := make(chan struct{}), make(chan struct{})
	tr.launcher = &launcher.Launcher{
		DataCentres: []identifier.DataCentre{"centro-a", "centro-b", "centro-c"}, Instances: 2,
		Workspaces:      map[identifier.WorkspaceName]configurer.Workspace{workspaceName: {Rate: 5000, Burst: 5000}},
		ConfigureServer: func(s *backendserver.Server) { s.ApplyLag = 20 * time.Millisecond },
		Logger:          func(identifier.InstanceID) zerolog.Logger { return trialLogger() },
		Overrides: func(id identifier.InstanceID, _ identifier.DataCentre) runner.Overrides {
			return runner.Overrides{OnFailoverEvent: func(e promoter.Event) {
				first := false
				if e.Step == killedAfter {
					once.Do(func() { first = true })
				}
				if first {
					tr.killed.Store(true)
					go func() { tr.kill(id); close(killed) }()
					<-release // The instance makes no further step.
				}
			}}
		},
	}
	t.Cleanup(tr.launcher.Close)
	t.Cleanup(func() {
		close(release)
		once.Do(func() { close(killed) })
		<-killed
	})
	ctx := t.Context()
	qt.Assert(t, tr.launcher.Start(ctx), qt.IsNil)
	conn := tr.connect(ctx, tr.launcher.All()[0])
	_, err := query(conn, "CREATE TABLE sets (id text PRIMARY KEY, k text)")
	qt.Assert(t, err, qt.IsNil)
	servers := tr.launcher.Groups[serviceName].Servers()
	tr.await("the table is replicated", func(*launcher.Instance) bool {
		return !slices.ContainsFunc(servers, func(s *backendserver.Server) bool { return s.Status().Applied < servers[0].Status().Applied })
	})
	return tr
}

func (tr *evacuationTrial) kill(id identifier.InstanceID) {
	for _, in := range tr.launcher.All() {
		if in.ID == id {
			tr.launcher.Kill(in)
		}
	}
}

func (tr *evacuationTrial) connect(ctx context.Context, in *launcher.Instance, options ...string) *pgconn.PgConn {
	conn, err := pgconn.Connect(ctx, tr.launcher.URL(in, serviceName, workspaceName, options...))
	qt.Assert(tr.t, err, qt.IsNil)
	tr.t.Cleanup(func() { _ = conn.Close(context.WithoutCancel(ctx)) })
	return conn
}

// startSessions reads and writes at each instance until stop is called.
func (tr *evacuationTrial) startSessions() (stop func()) {
	ctx, cancel := context.WithCancel(tr.t.Context())
	for i, in := range tr.launcher.All() {
		writer, reader := tr.connect(ctx, in), tr.connect(ctx, in, "oleanderpulley.max_age", "10s")
		tr.sessions.Go(func() {
			for n := 0; ctx.Err() == nil && !writer.IsClosed(); n++ {
				_, err := query(writer, fmt.Sprintf("INSERT INTO sets (id, k) VALUES ('w-%d-%d', 'k')", i, n))
				tr.checkRefusal(err)
				_, err = query(writer, fmt.Sprintf("SELECT id FROM sets WHERE id = 'w-%d-%d'", i, n))
				tr.checkRefusal(err)
				_, err = query(reader, "SELECT id FROM sets WHERE id = 'none'")
				tr.checkRefusal(err)
				sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	return func() { cancel(); tr.sessions.Wait() }
}

// checkRefusal records an error other than a refusal, an unknown outcome, the error
// 25006 with which a primary that has promised a newer term rejects a commit, or the
// end of the connection to an instance that was killed.
func (tr *evacuationTrial) checkRefusal(err error) {
	var refused *pgconn.PgError
	if errors.As(err, &refused) && !slices.Contains([]string{"57P03", "40003", "72000", "25006"}, refused.Code) {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.unexpected = append(tr.unexpected, err.Error())
	}
}

// evacuate replaces the list of evacuated data centres and returns the time at
// which the change was accepted.
func (tr *evacuationTrial) evacuate(dataCentres ...identifier.DataCentre) time.Time {
	tr.changes++
	err := tr.launcher.ChangeConfiguration(tr.t.Context(), fmt.Sprintf("evacuation-%d", tr.changes), func(d *configurer.Document) {
		d.EvacuatedDataCentres = dataCentres
	})
	qt.Assert(tr.t, err, qt.IsNil)
	return time.Now()
}

// await waits until the condition holds at every instance.
func (tr *evacuationTrial) await(condition string, holds func(*launcher.Instance) bool) {
	tr.t.Helper()
	ctx, cancel := context.WithTimeout(tr.t.Context(), recoveryTimeout)
	defer cancel()
	for _, in := range tr.launcher.All() {
		for in.Status().Ready && !holds(in) {
			if ctx.Err() != nil {
				tr.t.Fatalf("not within %s at instance %s: %s; %+v", recoveryTimeout, in.ID, condition, in.Status().Evacuations)
			}
			sleep(ctx, 5*time.Millisecond)
		}
	}
}

// writes reports whether the instance runs a write on a new connection.
func (tr *evacuationTrial) writes(in *launcher.Instance) bool {
	ctx, cancel := context.WithTimeout(tr.t.Context(), attemptTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, tr.launcher.URL(in, serviceName, workspaceName))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = query(conn, fmt.Sprintf("INSERT INTO sets (id, k) VALUES ('recovery-%s-%d', 'k')", in.ID, time.Now().UnixNano()))
	return err == nil
}

func withdrawnWithoutPrimaries(in *launcher.Instance) bool {
	for _, e := range in.Status().Evacuations {
		if !e.Withdrawn || len(e.Primaries) > 0 {
			return false
		}
	}
	return true
}

// checkStatements fails the test if an evacuated backend server received a read or
// a write later than allowed after the acceptance.
func (tr *evacuationTrial) checkStatements(accepted time.Time, evacuated ...string) {
	for _, s := range tr.launcher.Groups[serviceName].Servers() {
		if !slices.Contains(evacuated, s.DataCentre) {
			continue
		}
		for _, r := range s.Records() {
			limit := arrivalLimit
			if !strings.HasPrefix(r.SQL, "SELECT") {
				limit += router.DefaultLeavingGrace
			}
			if strings.Contains(r.SQL, "sets") && r.At.After(accepted.Add(limit)) {
				tr.t.Errorf("%s in %s received %q %s after the acceptance", s.ID, s.DataCentre, r.SQL, r.At.Sub(accepted))
			}
		}
	}
}

// primaryDataCentre returns the data centre of the newest primary.
func (tr *evacuationTrial) primaryDataCentre() string {
	var newest backendserver.Status
	dataCentre := ""
	for _, s := range tr.launcher.Groups[serviceName].Servers() {
		if st := s.Status(); st.Role == backendserver.RolePrimary && st.Term > newest.Term {
			newest, dataCentre = st, s.DataCentre
		}
	}
	return dataCentre
}

// Guards against statements to evacuated servers, a primary that stays there, an
// open transaction that lasts there, idle or with a running statement, and a return that moves the
// primary or leaves the servers unused, when two data centres are evacuated at once.
func TestTwoDataCentresAreEvacuatedAtOnce(t *testing.T) {
	tr := startEvacuationTrial(t, "")
	open := tr.connect(t.Context(), tr.launcher.All()[0])
	_, err := query(open, "BEGIN")
	qt.Assert(t, err, qt.IsNil)
	_, err = query(open, "INSERT INTO sets (id, k) VALUES ('open', 'k')")
	qt.Assert(t, err, qt.IsNil)
	busy := tr.connect(t.Context(), tr.launcher.All()[1])
	_, err = query(busy, "BEGIN")
	qt.Assert(t, err, qt.IsNil)
	interrupted := make(chan error, 1)
	go func() {
		_, err := query(busy, "SELECT pg_sleep(60)")
		interrupted <- err
	}()
	stop := tr.startSessions()
	accepted := tr.evacuate("centro-a", "centro-b")
	tr.await("no primary there", func(in *launcher.Instance) bool {
		return !slices.ContainsFunc(in.Status().Evacuations, func(e runner.EvacuationStatus) bool { return len(e.Primaries) > 0 })
	})
	t.Logf("replaced everywhere %s after the acceptance", time.Since(accepted))
	tr.await("withdrawn", withdrawnWithoutPrimaries)
	t.Logf("withdrawn everywhere %s after the acceptance", time.Since(accepted))
	tr.await("writes are served", tr.writes)
	qt.Assert(t, tr.primaryDataCentre(), qt.Equals, "centro-c")
	qt.Assert(t, <-interrupted, qt.ErrorMatches, ".*40003.*")
	_, err = query(open, "COMMIT")
	qt.Assert(t, err, qt.ErrorMatches, ".*not run: evacuation: centro-a: .*rolled back.*57P03.*")

	tr.checkStatements(accepted, "centro-a", "centro-b")
	returned := tr.evacuate()
	tr.await("reads at returned servers", func(*launcher.Instance) bool {
		read := 0
		for _, s := range tr.launcher.Groups[serviceName].Servers() {
			if slices.ContainsFunc(s.Records(), func(r backendserver.Record) bool {
				return r.At.After(returned) && strings.HasPrefix(r.SQL, "SELECT")
			}) {
				read++
			}
		}
		return read == 3
	})
	stop()
	qt.Assert(t, tr.primaryDataCentre(), qt.Equals, "centro-c")
	qt.Assert(t, tr.unexpected, qt.HasLen, 0)
}

// Guards against a replacement that is not completed when the instance that
// performs it is killed after it has claimed the term, before or after the members
// have promised it.
func TestEvacuationWhenTheReplacingInstanceDies(t *testing.T) {
	for _, step := range []promoter.Step{promoter.StepDecided, promoter.StepWaited} {
		t.Run(string(step), func(t *testing.T) {
			tr := startEvacuationTrial(t, step)
			stop := tr.startSessions()
			accepted := tr.evacuate("centro-a")
			tr.await("withdrawn", withdrawnWithoutPrimaries)
			tr.await("writes are served", tr.writes)
			t.Logf("writes are served %s after the acceptance", time.Since(accepted))
			stop()
			qt.Assert(t, tr.killed.Load(), qt.IsTrue)
			qt.Assert(t, tr.primaryDataCentre(), qt.Not(qt.Equals), "centro-a")
			tr.checkStatements(accepted, "centro-a")
			qt.Assert(t, tr.unexpected, qt.HasLen, 0)
		})
	}
}

// Guards against statements that wait or run although every server of the service
// is evacuated, and against a service that is not served after the return.
func TestEveryDataCentreIsEvacuated(t *testing.T) {
	tr := startEvacuationTrial(t, "")
	var conns []*pgconn.PgConn
	for _, in := range tr.launcher.All() {
		conns = append(conns, tr.connect(t.Context(), in))
	}
	accepted := tr.evacuate("centro-a", "centro-b", "centro-c")
	for _, conn := range conns {
		for _, sql := range []string{"SELECT id FROM sets", "INSERT INTO sets (id, k) VALUES ('x', 'k')", "BEGIN"} {
			began := time.Now()
			_, err := query(conn, sql)
			qt.Check(t, err, qt.ErrorMatches, ".*not run: evacuation: centro-a, centro-b, centro-c: every backend server.*57P03.*")
			qt.Check(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		}
	}
	for _, in := range tr.launcher.All() {
		e := in.Status().Evacuations
		qt.Assert(t, e, qt.HasLen, 3)
		qt.Assert(t, e[0].Refused, qt.DeepEquals, []identifier.ServiceName{serviceName})
		qt.Assert(t, e[0].Primaries, qt.DeepEquals, []identifier.ServiceName{serviceName})
	}
	tr.checkStatements(accepted, "centro-a", "centro-b", "centro-c")
	tr.evacuate()
	tr.await("writes are served", tr.writes)
	qt.Assert(t, tr.primaryDataCentre(), qt.Equals, "centro-a")
	qt.Assert(t, tr.launcher.All()[0].Status().Groups[string(serviceName)].Term, qt.Equals, identifier.Term(1))
}
