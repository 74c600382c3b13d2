package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
)

// Schedule names how the instances change between two builds during a run.
type Schedule string

// Schedules of a run with two builds.
const (
	// Forward starts all instances with the older build and changes one after the other
	// to the newer.
	Forward Schedule = "forward"
	// Back starts all instances with the newer build and changes one after the other to
	// the older.
	Back Schedule = "back"
	// ForwardAndBack is Forward in the first half of the run and Back in the second.
	ForwardAndBack Schedule = "forward-and-back"
	// Half starts half of the instances with the older build. Restarted instances keep
	// their builds.
	Half Schedule = "half"
)

// Schedules are all schedules.
var Schedules = []Schedule{Forward, Back, ForwardAndBack, Half}

var errUnknownSchedule = errors.New("schedule is not known")

const (
	// maxReadyWait is the time for which a change waits until the instance is ready, before
	// the next instance changes. A fault may keep an instance from becoming ready.
	maxReadyWait      = 3 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// build is one of the two builds.
type build bool

const (
	newBuild build = false
	oldBuild build = true
)

func (b build) String() string {
	if b == oldBuild {
		return "old"
	}
	return "new"
}

// upgradePlan has the build of each instance at the start of a run, and the changes
// in their order.
type upgradePlan struct {
	start   []build
	changes []change
}

// change is the restart of an instance with a build.
type change struct {
	instance int
	to       build
}

// upgradePlan returns the plan of the schedule. The seed determines the order of the
// instances.
func (s Soak) upgradePlan() (upgradePlan, error) {
	p := upgradePlan{start: make([]build, s.Instances)}
	if s.OldProgram == "" {
		return p, nil
	}
	order := rand.New(rand.NewPCG(s.Seed, 3)).Perm(s.Instances)
	switch s.Schedule {
	case Forward:
		p.setStart(order, oldBuild)
		p.addChanges(order, newBuild)
	case Back:
		p.addChanges(order, oldBuild)
	case ForwardAndBack:
		p.setStart(order, oldBuild)
		p.addChanges(order, newBuild)
		p.addChanges(order, oldBuild)
	case Half:
		p.setStart(order[:(s.Instances+1)/2], oldBuild)
	default:
		return upgradePlan{}, errors.Wrapf(errUnknownSchedule, "%q, want one of %v", s.Schedule, Schedules)
	}
	return p, nil
}

func (p *upgradePlan) setStart(instances []int, b build) {
	for _, i := range instances {
		p.start[i] = b
	}
}

func (p *upgradePlan) addChanges(instances []int, to build) {
	for _, i := range instances {
		p.changes = append(p.changes, change{i, to})
	}
}

func (s Soak) program(b build) string {
	if b == oldBuild {
		return s.OldProgram
	}
	return s.Program
}

// upgrade makes the changes one after the other, evenly over the given time. It
// returns the time, instance and build of each.
func (e *environment) upgrade(ctx context.Context, changes []change, length time.Duration) []string {
	var done []string
	start := time.Now()
	for n, c := range changes {
		due := length * time.Duration(n) / time.Duration(len(changes))
		sleep(ctx, due-time.Since(start))
		if ctx.Err() != nil {
			return done
		}
		p := e.instances[c.instance]
		done = append(done, fmt.Sprintf("%.1f %s to the %s build", time.Since(start).Seconds(), p.Name, c.to))
		p.SetProgram(e.soak.program(c.to))
		e.restart(p, syscall.SIGTERM)
		waitReady(ctx, p)
	}
	return done
}

func waitReady(ctx context.Context, p *stager.Process) {
	for end := time.Now().Add(maxReadyWait); time.Now().Before(end) && ctx.Err() == nil && !p.IsReady(); {
		sleep(ctx, readyPollInterval)
	}
}

// checkBuilds checks that each instance ended with the build of the plan, so that no
// run passes without the builds that it is about.
func (e *environment) checkBuilds(plan upgradePlan) []string {
	want := slices.Clone(plan.start)
	for _, c := range plan.changes {
		want[c.instance] = c.to
	}
	var broken []string
	for i, p := range e.instances {
		if got := p.Program(); got != e.soak.program(want[i]) {
			broken = append(broken, fmt.Sprintf("build: %s ended with %s, planned was the %s build", p.Name, got, want[i]))
		}
	}
	return broken
}
