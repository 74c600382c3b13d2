package measurer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// PolicyBenchmark measures the proxy under load by the four measures of section 1.3 of
// docs/design.md.
type PolicyBenchmark struct {
	Phase    time.Duration // Length of a phase; 0 selects 5 s. The scenario death takes twice as long.
	Scenario string        // Measured besides the scenario calm; empty selects all.
	User     string        // Name of a User; empty selects all.
	Seed     uint64
	Out      io.Writer
	Log      io.Writer // Receives the logs of the instances; nil discards them.
}

const (
	defaultPhase = 5 * time.Second
	warmUp       = 3 * time.Second
	phasePause   = time.Second // Between phases.
)

// userMeasurement is the run of the scenarios for one user.
type userMeasurement struct {
	PolicyBenchmark
	user            User
	launcher        *launcher.Launcher
	load            *loadGenerator
	switches        *policySwitch
	killedPrimaries int       // Number of services whose primary was killed.
	lastKill        time.Time // When the last primary was killed.
	calmResults     map[identifier.WorkspaceName]*workspaceResult
}

// scenario is a load or fault that is measured in one phase for each baseline.
type scenario struct {
	name      string
	baselines []Baseline // Each takes a phase.
	run       func(m *userMeasurement, ctx context.Context) error
}

// scenarios returns the scenarios in their order of execution. The scenario
// failover is last, because each of its phases kills the primary of another
// group for good.
func scenarios() []scenario {
	return []scenario{
		{"calm", []Baseline{NoBaseline, PrimaryReads, StaticShares}, (*userMeasurement).runCalm},
		{"flood", []Baseline{NoBaseline, FirstComeFirstServed}, (*userMeasurement).runFlood},
		{"admitted-flood", []Baseline{NoBaseline, FirstComeFirstServed}, (*userMeasurement).runAdmittedFlood},
		{"outage", []Baseline{NoBaseline}, (*userMeasurement).runOutage},
		{"death", []Baseline{NoBaseline, StaticShares}, (*userMeasurement).runDeath},
		{"failover", []Baseline{NoBaseline, FixedTimeout}, (*userMeasurement).runFailover},
	}
}

// Run measures the selected scenarios for the selected users and writes a
// Markdown table for each user.
func (p PolicyBenchmark) Run(ctx context.Context) error {
	if p.Phase == 0 {
		p.Phase = defaultPhase
	}
	known := p.Scenario == ""
	for _, s := range scenarios() {
		known = known || s.name == p.Scenario
	}
	if !known {
		return errors.Errorf("unknown scenario %q", p.Scenario)
	}
	_, _ = fmt.Fprintf(p.Out, "phase %s, seed %d, %d cores\n", p.Phase, p.Seed, runtime.NumCPU())
	for _, u := range Users() {
		if p.User != "" && p.User != u.Name {
			continue
		}
		if err := p.measureUser(ctx, u); err != nil {
			return errors.Wrapf(err, "user %s", u.Name)
		}
	}
	return nil
}

// measureUser runs the scenarios on the installation of one user.
func (p PolicyBenchmark) measureUser(ctx context.Context, u User) error {
	m := &userMeasurement{PolicyBenchmark: p, user: u, switches: &policySwitch{limits: map[identifier.WorkspaceName]limiter.Limit{}}}
	for _, w := range u.workspaces() {
		m.switches.limits[w.name] = limiter.Limit{Rate: w.rate, Burst: w.rate * burstSeconds}
	}
	l := u.launcher(m.switches)
	if p.Log != nil {
		log := zerolog.SyncWriter(p.Log)
		l.Logger = func(id identifier.InstanceID) zerolog.Logger {
			return zerolog.New(log).With().Timestamp().Str("instance", string(id)).Logger()
		}
	}
	defer l.Close()
	if err := l.Start(ctx); err != nil {
		return err
	}
	m.launcher = l
	m.load = &loadGenerator{launcher: l, workspaces: u.workspaces(), seed: p.Seed}
	defer m.load.close()
	if err := m.load.start(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(p.Out, "\n%s\n%s\n", u.Name, resultHeader)
	for _, s := range scenarios() {
		if p.Scenario != "" && s.name != p.Scenario && s.name != "calm" {
			continue
		}
		for _, b := range s.baselines {
			if err := m.runPhase(ctx, s, b); err != nil {
				return errors.Wrapf(err, "scenario %s with policy %q", s.name, b)
			}
		}
	}
	m.load.close()
	if m.load.lostWrites > 0 {
		_, _ = fmt.Fprintf(p.Out, "%d sessions without a position lost a write with an old primary\n", m.load.lostWrites)
	}
	for _, line := range m.load.violationReports {
		_, _ = fmt.Fprintln(p.Out, line)
	}
	return nil
}

// runPhase runs a scenario with a baseline, writes its table row and waits until
// the load has settled.
func (m *userMeasurement) runPhase(ctx context.Context, s scenario, b Baseline) error {
	m.switches.baseline.Store(int32(b))
	defer m.switches.baseline.Store(int32(NoBaseline))
	before := m.switches.readCounts()
	phase := m.load.beginPhase()
	if err := s.run(m, ctx); err != nil {
		return err
	}
	if err := m.load.finishPhase(ctx, phase); err != nil {
		return err
	}
	byWorkspace, violations := phase.summary(m.switches.limits)
	if m.calmResults == nil {
		m.calmResults = byWorkspace
	}
	r := newResult(byWorkspace, m.calmResults)
	r.scenario, r.baseline, r.violations = s.name, b, violations
	r.reads = m.switches.readCounts().minus(before)
	var notes []string
	if s.name == "failover" {
		notes = append(notes, m.failoverNote(phase))
	}
	if r.wrongfulRefusals > 0 {
		notes = append(notes, fmt.Sprintf("last wrongful refusal after %.1f s", r.lastWrongfulRefusal.Sub(phase.start).Seconds()))
	}
	r.note = strings.Join(append(notes, r.reads.primaryCauses()), "; ")
	_, _ = fmt.Fprintln(m.Out, r)
	m.switches.baseline.Store(int32(NoBaseline))
	return sleep(ctx, phasePause)
}

// formatFailures lists the number of failures for each outcome.state.
func formatFailures(states map[string]int) string {
	var parts []string
	for _, state := range sortedKeys(states) {
		parts = append(parts, fmt.Sprintf("%s: %d", state, states[state]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
