package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/identifier"
)

// loadGenerator runs the sessions of all workspaces of an installation and
// records their outcomes by phase.
type loadGenerator struct {
	launcher     *launcher.Launcher
	workspaces   []workspace
	seed         uint64
	moveSessions atomic.Bool

	sessions []*session
	running  sync.WaitGroup
	stop     context.CancelFunc

	mu               sync.Mutex
	phases           []*phase
	killedPrimaries  map[identifier.ServiceName]bool // Services whose primary was killed.
	lostWrites       int                             // Of sessions that reconnected without a position.
	violationReports []string                        // At most maxViolationReports.
}

// phase is a period of time whose arrivals share a tally.
type phase struct {
	tally
	start, end time.Time // The end is zero while the phase lasts.
}

func (l *loadGenerator) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialDelayed(ctx, network, address, clientDelay)
}

// start creates the tables and starts the sessions of all workspaces.
func (l *loadGenerator) start(ctx context.Context) error {
	for _, service := range l.launcher.Services {
		conn, err := l.createTable(ctx, service)
		if err != nil {
			return err
		}
		_ = conn.Close(ctx)
	}
	ctx, l.stop = context.WithCancel(ctx)
	l.moveSessions.Store(true)
	for i, w := range l.workspaces {
		started, err := l.startSessions(ctx, i, w, "session", w.sessions)
		if err != nil {
			return err
		}
		l.sessions = append(l.sessions, started...)
	}
	return nil
}

// createTable creates the table of a service and returns the connection used.
func (l *loadGenerator) createTable(ctx context.Context, service identifier.ServiceName) (*pgx.Conn, error) {
	for _, w := range l.workspaces {
		if w.service != service {
			continue
		}
		conn, err := pgx.Connect(ctx, l.launcher.URL(l.launcher.All()[0], service, w.name))
		if err != nil {
			return nil, errors.Wrapf(err, "creating the table of service %s", service)
		}
		_, err = conn.Exec(ctx, "CREATE TABLE stock (id text PRIMARY KEY, value bigint)")
		return conn, errors.Wrapf(err, "creating the table of service %s", service)
	}
	return nil, errors.Errorf("no workspace uses service %s", service)
}

// startSessions inserts a row for each of count new sessions of the i-th
// workspace and starts them. They end with the context.
func (l *loadGenerator) startSessions(ctx context.Context, i int, w workspace, name string, count int) ([]*session, error) {
	var list []*session
	for n := range count {
		id := fmt.Sprintf("%s-%s-%d", w.name, name, n)
		list = append(list, &session{
			load: l, workspace: w, id: id, homeInstance: i,
			random: rand.New(rand.NewPCG(l.seed, hash(id))), //nolint:gosec // The seed makes the load reproducible.
		})
	}
	conn, err := pgx.Connect(ctx, l.launcher.URL(l.launcher.All()[0], w.service, w.name))
	if err != nil {
		return nil, errors.Wrapf(err, "inserting the rows of workspace %s", w.name)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, insertRows(list)); err != nil {
		return nil, errors.Wrapf(err, "inserting the rows of workspace %s", w.name)
	}
	now := time.Now()
	for _, s := range list {
		s.currentArrival.Store(now.UnixNano())
		l.running.Go(func() { s.run(ctx, now) })
	}
	return list, nil
}

// beginPhase starts a phase that counts all arrivals from now on.
func (l *loadGenerator) beginPhase() *phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &phase{start: time.Now()}
	l.phases = append(l.phases, p)
	return p
}

// finishPhase ends a phase and waits until its arrivals have their outcomes. A
// session that is still busy after twice the statement timeout is an error,
// because its later arrivals would be missing from the tally.
func (l *loadGenerator) finishPhase(ctx context.Context, p *phase) error {
	l.mu.Lock()
	p.end = time.Now()
	l.mu.Unlock()
	deadline := p.end.Add(2 * statementTimeout)
	for _, s := range l.sessions {
		for s.currentArrival.Load() < p.end.UnixNano() {
			if time.Now().After(deadline) {
				return errors.Errorf("session %s has no response %s after the end of the phase", s.id, 2*statementTimeout)
			}
			if err := sleep(ctx, 5*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// record adds an outcome to the phase of its arrival. For arrivals between
// phases, only violations are counted.
func (l *loadGenerator) record(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.phases) - 1; i >= 0; i-- {
		p := l.phases[i]
		if !o.arrival.Before(p.start) && (p.end.IsZero() || o.arrival.Before(p.end)) {
			p.add(o)
			return
		}
	}
	if o.violation && len(l.phases) > 0 {
		l.phases[len(l.phases)-1].violationsAfter++
	}
}

// maxViolationReports limits the violations that are described in the output.
const maxViolationReports = 20

// markPrimaryKilled records that the primary of a service is killed.
func (l *loadGenerator) markPrimaryKilled(s identifier.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killedPrimaries == nil {
		l.killedPrimaries = map[identifier.ServiceName]bool{}
	}
	l.killedPrimaries[s] = true
}

// countLostWrite reports whether the loss of a write is explained by the kill of
// the service's primary, and counts it if so.
func (l *loadGenerator) countLostWrite(s identifier.ServiceName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killedPrimaries[s] {
		l.lostWrites++
	}
	return l.killedPrimaries[s]
}

// reportViolation stores the description of a violation for the output.
func (l *loadGenerator) reportViolation(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violationReports) < maxViolationReports {
		l.violationReports = append(l.violationReports, line)
	}
}

// recordWrite records an acknowledged write in the latest phase.
func (l *loadGenerator) recordWrite(s identifier.ServiceName, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.phases) > 0 {
		l.phases[len(l.phases)-1].addWrite(s, at)
	}
}

// close stops all sessions and waits for their end.
func (l *loadGenerator) close() {
	if l.stop != nil {
		l.stop()
	}
	l.running.Wait()
}
