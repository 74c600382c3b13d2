// Command soak is a fault injection test. It runs instances as separate processes
// against a fake platform and fake backend servers, injects faults from
// outside, and checks what clients and backend servers observe.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/builder"
	"oleanderpulley/internal/bench/soaker"
)

func main() {
	os.Exit(run())
}

// run returns the exit code: 1 if a run violated a guarantee, 2 if a run could not
// be completed.
func run() int {
	s := soaker.Soak{}
	firstSeed := flag.Uint64("seed", uint64(time.Now().UnixNano())%1_000_000, "seed of the first run")
	seedCount := flag.Int("seeds", 1, "number of runs, with consecutive seeds")
	flag.StringVar(&s.Program, "program", "target/oleanderpulley", "path of the oleanderpulley binary")
	flag.IntVar(&s.Instances, "instances", 5, "number of instances, 1 to 100")
	flag.IntVar(&s.Clients, "clients", 24, "number of clients")
	flag.DurationVar(&s.Length, "length", 20*time.Second, "duration of a run, without startup and shutdown")
	flag.StringVar(&s.Logs, "logs", "", "directory for the logs of failed runs")
	flag.BoolVar(&s.Unfenced, "unfenced", false, "play a platform that checks no fencing tokens and replaced primaries that lead on")
	flag.StringVar(&s.Fault, "fault", "", "name of the only fault to inject, as -v prints it")
	flag.StringVar(&s.OldProgram, "old", "", "path of the binary of an older build that runs beside -program")
	oldCommit := flag.String("old-commit", "", "commit of an older build, built from the history of the repository, that runs beside -program")
	schedule := flag.String("schedule", string(soaker.ForwardAndBack), fmt.Sprintf("changes between the two builds, one of %v", soaker.Schedules))
	flag.BoolVar(&s.OddEntries, "odd-entries", false, "make another writer write and remove odd entries of backend servers throughout")
	verbose := flag.Bool("v", false, "print the faults of each run, with their times in seconds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s.Schedule = soaker.Schedule(*schedule)
	if *oldCommit != "" {
		remove, err := buildOld(ctx, &s, *oldCommit)
		defer remove()
		if err != nil {
			fmt.Fprintf(os.Stderr, "error: older build: %v\n", err)
			return 2
		}
	}
	failed := 0
	for i := range *seedCount {
		s.Seed = *firstSeed + uint64(i)
		report, err := s.Run(ctx)
		if err != nil {
			fmt.Fprintf(os.Stderr, "error: seed %d: %v\n", s.Seed, err)
			return 2
		}
		fmt.Println(report)
		if *verbose {
			fmt.Println("  " + strings.Join(append(report.Faults, report.Upgrades...), "\n  "))
		}
		if !report.OK() {
			failed++
		}
	}
	if failed > 0 {
		return 1
	}
	return 0
}

// buildOld builds the commit and sets its executable as the older build. The returned
// function removes it.
func buildOld(ctx context.Context, s *soaker.Soak, commit string) (remove func(), err error) {
	if s.OldProgram != "" {
		return func() {}, errTwoOldBuilds
	}
	directory, err := os.MkdirTemp("", "soak-old")
	if err != nil {
		return func() {}, errors.Wrap(err, "creating a temporary directory")
	}
	s.OldProgram = filepath.Join(directory, "oleanderpulley")
	return func() { _ = os.RemoveAll(directory) }, builder.Builder{}.Build(ctx, commit, s.OldProgram)
}

var errTwoOldBuilds = errors.New("-old and -old-commit exclude each other")
