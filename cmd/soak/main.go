// Command soak runs instances as separate processes against stand-ins, injects
// faults from outside and checks what callers and backend servers see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"oleanderpulley/internal/bench/soaker"
)

func main() {
	os.Exit(run())
}

// run returns the exit code: 1 for a broken promise, 2 for a run that did not
// come to its end.
func run() int {
	s := soaker.Soak{}
	first := flag.Uint64("seed", uint64(time.Now().UnixNano())%1_000_000, "seed of the first run")
	count := flag.Int("seeds", 1, "number of runs, with consecutive seeds")
	flag.StringVar(&s.Program, "program", "target/oleanderpulley", "program of an instance")
	flag.IntVar(&s.Instances, "instances", 5, "instances, 1 to 100")
	flag.IntVar(&s.Clients, "clients", 24, "clients")
	flag.DurationVar(&s.Length, "length", 20*time.Second, "length of a run, without its start and end")
	flag.StringVar(&s.Logs, "logs", "", "directory for the logs of failed runs")
	verbose := flag.Bool("v", false, "print the faults of each run, with their times in seconds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i := range *count {
		s.Seed = *first + uint64(i)
		report, err := s.Run(ctx)
		if err != nil {
			fmt.Fprintf(os.Stderr, "error: seed %d: %v\n", s.Seed, err)
			return 2
		}
		fmt.Println(report)
		if *verbose {
			fmt.Println("  " + strings.Join(report.Faults, "\n  "))
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
