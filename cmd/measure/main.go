// Command measure runs benchmarks of the proxy on loopback: its control traffic and
// CPU cost, its policies under load, and days of load with faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"oleanderpulley/internal/bench/measurer"
	"oleanderpulley/internal/bench/player"
)

func main() {
	root := &cobra.Command{Use: "measure", Short: "Run benchmarks of the proxy on loopback", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newCapacityCommand())
	root.AddCommand(newRestCommand(), newPoliciesCommand(), newDayCommand(), newFailoverDaysCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newRestCommand() *cobra.Command {
	var dataCentres, instances, groups int
	c := &cobra.Command{
		Use:     "rest",
		Short:   "Measure CPU, memory and control traffic of one installation under little load",
		Example: "  go run ./cmd/measure rest --data-centres 2 --instances 16 --groups 1",
		Args:    cobra.NoArgs,
	}
	c.Flags().IntVar(&dataCentres, "data-centres", 2, "number of data centres")
	c.Flags().IntVar(&instances, "instances", 4, "number of instances in each data centre")
	c.Flags().IntVar(&groups, "groups", 0, "number of database groups that every instance uses; 0 runs without sessions")
	c.RunE = func(c *cobra.Command, _ []string) error {
		cost, err := measurer.FleetCost(c.Context(), dataCentres, instances, groups)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", measurer.CostHeader, cost)
		return err
	}
	return c
}

func newPoliciesCommand() *cobra.Command {
	var p measurer.PolicyBenchmark
	var logFile string
	c := &cobra.Command{
		Use:   "policies",
		Short: "Compare the policies of the proxy with baselines (docs/MEASURES.md)",
		Example: "  go run ./cmd/measure policies\n" +
			"  go run ./cmd/measure policies --user atlas --scenario failover --phase 20s",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p.Out = c.OutOrStdout()
			if logFile == "" {
				return p.Run(c.Context())
			}
			f, err := os.Create(logFile) //nolint:gosec // The user names the file.
			if err != nil {
				return err
			}
			p.Log = f
			err = p.Run(c.Context())
			if closeErr := f.Close(); err == nil {
				err = closeErr
			}
			return err
		},
	}
	c.Flags().DurationVar(&p.Phase, "phase", 0, "duration of each phase, doubled in the scenario death (default 5s)")
	c.Flags().StringVar(&p.Scenario, "scenario", "", "run only the scenario calm and this scenario: flood, admitted-flood, outage, death, failover")
	c.Flags().StringVar(&p.User, "user", "", "simulate only one user: obi-y-seda, atlas")
	c.Flags().StringVar(&logFile, "log", "", "file for the logs of the instances")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of the load")
	return c
}

func newCapacityCommand() *cobra.Command {
	var plot string
	c := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure how costs grow with the installation (docs/CAPACITY.md)",
		Example: "  go run ./cmd/measure capacity --plot docs/control_cost.svg",
		Args:    cobra.NoArgs,
	}
	c.Flags().StringVar(&plot, "plot", "", "file for a plot of the control traffic against the number of instances")
	c.RunE = func(c *cobra.Command, _ []string) error {
		costs, err := measurer.MeasureCapacity(c.Context(), c.OutOrStdout())
		if err != nil || plot == "" {
			return err
		}
		return measurer.PlotPeerTraffic(plot, costs)
	}
	return c
}

func newDayCommand() *cobra.Command {
	var p player.Player
	var plot string
	c := &cobra.Command{
		Use:   "day FILE",
		Short: "Simulate a day of load with faults through the line protocol",
		Long: "Simulate a day of load with faults through the line protocol. Each instance is a process of the real\n" +
			"binary; the platform and backend servers are simulated. Print the outcomes. FILE is JSON with comments; see deploy/loads.",
		Example: "  go build -o target/ ./cmd/oleanderpulley\n" +
			"  go run ./cmd/measure day --seed 1 --plot failover.svg deploy/loads/failover.jsonc",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			d, err := player.LoadDay(files[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := p.Play(ctx, d)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprint(c.OutOrStdout(), r); err != nil || plot == "" {
				return err
			}
			return r.Plot(plot)
		},
	}
	c.Flags().StringVar(&p.Program, "program", "target/oleanderpulley", "path of the oleanderpulley binary")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of the load")
	c.Flags().StringVar(&plot, "plot", "", "SVG file for a plot with one point per second")
	return c
}
