package soaker

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/stager"
)

// Guards against a schedule that runs one build alone, leaves an instance out or differs between two runs of a seed.
func TestUpgradePlans(t *testing.T) {
	for _, test := range []struct {
		schedule   Schedule
		old        int // Instances of the older build at the start.
		changes    int
		oldAtEnd   int
		newAtMost  int // Instances of the newer build at any time.
		newAtLeast int
	}{
		{Forward, 5, 5, 0, 5, 0},
		{Back, 0, 5, 5, 5, 0},
		{ForwardAndBack, 5, 10, 5, 5, 0},
		{Half, 3, 0, 3, 2, 2},
	} {
		t.Run(string(test.schedule), func(t *testing.T) {
			s := Soak{Seed: 7, Instances: 5, Program: "new", OldProgram: "old", Schedule: test.schedule}
			p, err := s.upgradePlan()
			qt.Assert(t, err, qt.IsNil)
			again, _ := s.upgradePlan()
			qt.Assert(t, slices.Equal(p.changes, again.changes) && slices.Equal(p.start, again.start), qt.IsTrue)
			qt.Assert(t, p.changes, qt.HasLen, test.changes)
			now := slices.Clone(p.start)
			qt.Assert(t, count(now, oldBuild), qt.Equals, test.old)
			most, least := count(now, newBuild), count(now, newBuild)
			for _, c := range p.changes {
				qt.Assert(t, now[c.instance], qt.Not(qt.Equals), c.to)
				now[c.instance] = c.to
				most, least = max(most, count(now, newBuild)), min(least, count(now, newBuild))
			}
			qt.Assert(t, count(now, oldBuild), qt.Equals, test.oldAtEnd)
			qt.Assert(t, [2]int{most, least}, qt.Equals, [2]int{test.newAtMost, test.newAtLeast})
		})
	}
	_, err := Soak{Instances: 5, OldProgram: "old", Schedule: "sideways"}.upgradePlan()
	qt.Assert(t, err, qt.ErrorIs, errUnknownSchedule)
	p, err := Soak{Instances: 5, Program: "new"}.upgradePlan()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, count(p.start, newBuild), qt.Equals, 5)
}

func count(all []build, b build) int {
	n := 0
	for _, other := range all {
		if other == b {
			n++
		}
	}
	return n
}

// Guards against a change that restarts an instance with the same build, and a run that passes with other builds than planned.
func TestUpgradeRunsTheOtherBuild(t *testing.T) {
	directory := t.TempDir()
	s := Soak{Instances: 1, Program: script(t, directory, "new"), OldProgram: script(t, directory, "old"), Schedule: Forward}
	plan, err := s.upgradePlan()
	qt.Assert(t, err, qt.IsNil)
	e := &environment{soak: s, directory: directory}
	p, err := stager.NewProcess(stager.ProcessConfig{Program: s.program(plan.start[0]), Directory: directory, Name: "entry-0"})
	qt.Assert(t, err, qt.IsNil)
	defer p.Close()
	e.instances = []*stager.Process{p}
	qt.Assert(t, p.Start(), qt.IsNil)
	awaitLog(t, directory, "old\n")
	qt.Assert(t, e.checkBuilds(plan), qt.HasLen, 1)
	p.SetProgram(s.program(plan.changes[0].to))
	qt.Assert(t, e.checkBuilds(plan), qt.HasLen, 1)
	e.restart(p, syscall.SIGTERM)
	awaitLog(t, directory, "old\nnew\n")
	qt.Assert(t, e.checkBuilds(plan), qt.HasLen, 0)
}

// script writes a program that prints its name and runs until it is ended.
func script(t *testing.T, directory, name string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	qt.Assert(t, os.WriteFile(path, []byte("#!/bin/sh\necho "+name+"\nexec tail -f /dev/null\n"), 0o700), qt.IsNil) //nolint:gosec // A program is executable.
	return path
}

func awaitLog(t *testing.T, directory, want string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		data, err := os.ReadFile(filepath.Join(directory, "entry-0.log")) //nolint:gosec // The test created the file.
		qt.Assert(t, err, qt.IsNil)
		if string(data) == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within 10s: log %q, got %q", want, strings.TrimSpace(string(data)))
		}
	}
}
