// Command soak runs instances as separate processes against stand-ins, injects
// faults from outside and checks what callers and backend servers see.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"oleanderpulley/internal/bench/soaker"
)

func main() {
	s := soaker.Soak{}
	first := flag.Uint64("seed", uint64(time.Now().UnixNano())%1_000_000, "seed of the first run")
	count := flag.Int("seeds", 1, "number of runs, with consecutive seeds")
	flag.StringVar(&s.Program, "program", "target/oleanderpulley", "program of an instance")
	flag.IntVar(&s.Instances, "instances", 5, "instances, 1 to 100")
	flag.IntVar(&s.Clients, "clients", 24, "clients")
	flag.DurationVar(&s.Length, "length", 20*time.Second, "length of a run, without its start and end")
	flag.StringVar(&s.Logs, "logs", "", "directory for the logs of failed runs")
	flag.Parse()
	failed := 0
	for i := range *count {
		s.Seed = *first + uint64(i)
		report, err := s.Run()
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			os.Exit(2)
		}
		fmt.Println(report)
		if !report.OK() {
			failed++
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}
