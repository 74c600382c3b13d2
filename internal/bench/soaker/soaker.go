package soaker

import (
	"context"
	stderrors "errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxListedBroken is the number of broken promises of each rule that a report lists.
const maxListedBroken = 4

// Soak configures a run of the soak test.
type Soak struct {
	Seed      uint64
	Program   string // Path of the executable of an instance.
	Instances int
	Clients   int
	Length    time.Duration // Of the time with faults.
	Logs      string        // Directory for the logs of a failed run; "" discards them.
	// Unfenced plays a platform that checks no fencing tokens and a primary that
	// leads on after it was replaced.
	Unfenced bool
	// Fault is the name of the only fault to inject, again and again without overlap. ""
	// draws from all faults, which may overlap.
	Fault string
	// OldProgram is the path of the executable of an older build. "" runs Program alone.
	OldProgram string
	// Schedule determines which instances run OldProgram, and when they change between
	// the builds.
	Schedule Schedule
	// OddEntries makes another writer write and remove odd entries of backend servers
	// from the start of the faults to the end of the run.
	OddEntries bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Operations int
	Served     int      // Acknowledged operations.
	Unknown    int      // Operations with an unknown outcome.
	Repeats    int      // Answers that backend servers sent again.
	Faults     []string // Start time in seconds and name of each fault.
	Upgrades   []string // Time in seconds, instance and build of each change of a build.
	// IdleWindows are the windows after the faults in which clients attempted too little to
	// tell whether they were served again.
	IdleWindows []string
	Broken      []string // Broken promises, one line each, that begin with the rule.
}

// OK reports whether every promise was kept.
func (r Report) OK() bool {
	return len(r.Broken) == 0
}

// String returns a summary line and one line for each of the first broken
// promises of each rule.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d operations, %d served, %d unknown, %d faults, %d repeated answers, %d broken%s",
		r.Seed, r.Operations, r.Served, r.Unknown, len(r.Faults), r.Repeats, len(r.Broken), r.brokenByRule())
	if len(r.Upgrades) > 0 {
		fmt.Fprintf(&b, ", %d changes of a build", len(r.Upgrades))
	}
	for _, line := range r.IdleWindows {
		b.WriteString("\n  idle window: " + line)
	}
	listed := map[string]int{}
	for _, line := range r.Broken {
		rule := brokenRule(line)
		listed[rule]++
		switch n := listed[rule]; {
		case n <= maxListedBroken:
			b.WriteString("\n  " + line)
		case n == maxListedBroken+1:
			b.WriteString("\n  " + rule + ": ...")
		}
	}
	return b.String()
}

func brokenRule(line string) string {
	rule, _, _ := strings.Cut(line, ":")
	return rule
}

// brokenByRule returns the number of broken promises by rule.
func (r Report) brokenByRule() string {
	counts := map[string]int{}
	for _, line := range r.Broken {
		counts[brokenRule(line)]++
	}
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, fmt.Sprintf("%s %d", rule, counts[rule]))
	}
	if all == nil {
		return ""
	}
	return " (" + strings.Join(all, ", ") + ")"
}

// Run runs the soak test with its seed. If the context is cancelled, Run ends early
// and returns the error of the context without a report.
func (s Soak) Run(ctx context.Context) (Report, error) {
	drawn, err := s.faults()
	if err != nil {
		return Report{}, err
	}
	plan, err := s.upgradePlan()
	if err != nil {
		return Report{}, err
	}
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "creating a temporary directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	e, err := newEnvironment(s, directory)
	if err != nil {
		return Report{}, err
	}
	defer e.close()
	if err := e.startInstances(plan); err != nil {
		return Report{}, stderrors.Join(err, s.keepLogs(directory))
	}
	r, err := e.play(ctx, drawn, plan)
	if err == nil && !r.OK() {
		err = s.keepLogs(directory)
	}
	return r, err
}

// play sends statements while it injects faults and changes the builds of instances, and
// reports the promises that were broken.
func (e *environment) play(ctx context.Context, drawn []fault, plan upgradePlan) (Report, error) {
	s, h := e.soak, &history{}
	l := &load{history: h}
	for i := range s.Clients {
		l.clients = append(l.clients, &client{environment: e, history: h, number: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)+100))})
	}
	l.start()
	stop := make(chan struct{})
	var oddEntries sync.WaitGroup
	if s.OddEntries {
		oddEntries.Go(func() { e.putOddEntries(rand.New(rand.NewPCG(s.Seed, 3)), stop) })
	}
	var upgrades []string
	upgraded := make(chan struct{})
	go func() {
		defer close(upgraded)
		upgrades = e.upgrade(ctx, plan.changes, s.Length)
	}()
	faults := e.injectFaults(ctx, drawn, rand.New(rand.NewPCG(s.Seed, 1)), s.Length, upgraded)
	<-upgraded
	faultsEnded := time.Now()
	sleep(ctx, recoveryTime)
	var notReady []string
	if s.OddEntries {
		notReady = e.checkReady()
	}
	idle, notServed := l.endRecovered(ctx, faultsEnded)
	close(stop)
	oddEntries.Wait()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := h.check(e)
	r.Broken = slices.Concat(r.Broken, notServed, notReady, e.checkExits(), e.checkBuilds(plan))
	r.Seed, r.Faults, r.Upgrades, r.IdleWindows = s.Seed, faults, upgrades, idle
	return r, nil
}

// sleep waits for the duration d or until the context is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// keepLogs copies the logs of the instances to a directory named after the seed
// under s.Logs.
func (s Soak) keepLogs(directory string) error {
	if s.Logs == "" {
		return nil
	}
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		return errors.Wrapf(err, "listing logs in %s", directory)
	}
	kept := filepath.Join(s.Logs, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(kept, 0o750); err != nil {
		return errors.Wrapf(err, "creating log directory %s", kept)
	}
	for _, name := range files {
		data, err := os.ReadFile(name) //nolint:gosec // The run created the file.
		if err != nil {
			return errors.Wrapf(err, "reading log %s", name)
		}
		if err := os.WriteFile(filepath.Join(kept, filepath.Base(name)), data, 0o600); err != nil { //nolint:gosec // The caller chooses the directory.
			return errors.Wrapf(err, "copying log %s to %s", name, kept)
		}
	}
	return nil
}
