package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/platformserver"
	"oleanderpulley/internal/state/identifier"
)

const (
	floodFactor = 8
	// failoverTimeout limits the wait for a write at the new primary.
	failoverTimeout = 20 * time.Second
	// moveStopPause is the time between the last moves of sessions and the kill of
	// a primary. A session that reconnects without a position shortly before its
	// write is lost cannot be notified of the loss.
	moveStopPause = time.Second
)

func (m *userMeasurement) runCalm(ctx context.Context) error { return sleep(ctx, m.Phase) }

// runFlood lets the first workspace offer eight times its configured rate.
func (m *userMeasurement) runFlood(ctx context.Context) error {
	w := m.load.workspaces[0]
	extra := int(floodFactor*rateHeadroom*float64(w.sessions)) - w.sessions
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	if _, err := m.load.startSessions(flooding, 0, w, fmt.Sprintf("flood-%d", time.Now().UnixNano()), extra); err != nil {
		return err
	}
	return sleep(ctx, m.Phase)
}

// runAdmittedFlood runs a flood that the rate limit does not refuse, so that the
// queues of the backend servers must divide their slots between the workspaces.
func (m *userMeasurement) runAdmittedFlood(ctx context.Context) error {
	m.switches.unlimitedWorkspace.Store(&m.load.workspaces[0].name)
	defer m.switches.unlimitedWorkspace.Store(nil)
	return m.runFlood(ctx)
}

func (m *userMeasurement) runOutage(ctx context.Context) error {
	if err := m.launcher.Platform.SetFaults(platformserver.Faults{Down: platformserver.DownRefuse}); err != nil {
		return err
	}
	err := sleep(ctx, m.Phase)
	if restoreErr := m.launcher.Platform.SetFaults(platformserver.Faults{}); err == nil {
		err = restoreErr
	}
	return err
}

// runDeath kills the home instance of the first workspace and replaces it after
// two phase lengths.
func (m *userMeasurement) runDeath(ctx context.Context) error {
	killed := m.launcher.All()[0]
	m.launcher.Kill(killed)
	m.launcher.PublishInstances()
	if err := sleep(ctx, 2*m.Phase); err != nil {
		return err
	}
	in, err := m.launcher.AddInstance(ctx, killed.DataCentre)
	if err != nil {
		return err
	}
	return in.WaitReady(ctx)
}

// runFailover kills the primary of the next service, waits until writes to the
// service are acknowledged again, and then for half a phase length.
func (m *userMeasurement) runFailover(ctx context.Context) error {
	m.load.moveSessions.Store(false)
	if err := sleep(ctx, moveStopPause); err != nil {
		return err
	}
	service := m.user.services()[m.killedPrimaries]
	m.killedPrimaries++
	primary, err := primaryOf(m.launcher.Groups[service])
	if err != nil {
		return errors.Wrapf(err, "service %s", service)
	}
	m.lastKill = time.Now()
	m.load.markPrimaryKilled(service)
	if err := primary.Kill(true); err != nil {
		return err
	}
	for time.Since(m.lastKill) < failoverTimeout && !m.load.hasWriteAfter(service, m.lastKill.Add(lateAfter)) {
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return sleep(ctx, m.Phase/2)
}

// hasWriteAfter reports whether a write of the service was acknowledged after
// the given time in the latest phase.
func (l *loadGenerator) hasWriteAfter(s identifier.ServiceName, after time.Time) bool {
	l.mu.Lock()
	p := l.phases[len(l.phases)-1]
	l.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.writes[s]
	return len(list) > 0 && list[len(list)-1].After(after)
}

func primaryOf(g *backendserver.Group) (*backendserver.Server, error) {
	for _, s := range g.Servers() {
		if s.Status().Role == backendserver.RolePrimary {
			return s, nil
		}
	}
	return nil, errors.New("group has no primary")
}

// failoverNote describes the write gap of the service whose primary was killed.
func (m *userMeasurement) failoverNote(p *phase) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, resumed := longestWriteGap(p.writes[m.user.services()[m.killedPrimaries-1]], m.lastKill, p.end)
	if !resumed {
		return fmt.Sprintf("no write acknowledged for the last %.1f s", d.Seconds())
	}
	note := fmt.Sprintf("gap %.2f s", d.Seconds())
	if e := m.switches.lastOpening.Load(); e != nil {
		g := e.Gap
		note += fmt.Sprintf(" (promoter: detection %.2f, decision %.2f, fencing %.2f, waiting %.2f, opening %.2f)",
			g.Detection.Seconds(), g.Decision.Seconds(), g.Fencing.Seconds(), g.Waiting.Seconds(), g.Opening.Seconds())
	}
	return note
}
