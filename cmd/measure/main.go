// Command measure measures costs and policies of the proxy on loopback.
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
	root := &cobra.Command{Use: "measure", Short: "Measure costs and policies on loopback", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newCapacity())
	root.AddCommand(newRest(), newPolicies(), newDay())
	if err := root.ExecuteContext(context.Background()); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newRest() *cobra.Command {
	var centres, instances, groups int
	c := &cobra.Command{
		Use:     "rest",
		Short:   "Measure the control cost of one installation at rest",
		Example: "  go run ./cmd/measure rest --data-centres 2 --instances 16 --groups 1",
		Args:    cobra.NoArgs,
	}
	c.Flags().IntVar(&centres, "data-centres", 2, "number of data centres")
	c.Flags().IntVar(&instances, "instances", 4, "instances in each data centre")
	c.Flags().IntVar(&groups, "groups", 0, "database groups in use by every instance")
	c.RunE = func(c *cobra.Command, _ []string) error {
		cost, err := measurer.Rest(c.Context(), centres, instances, groups)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n%s\n", measurer.CostHeader, cost)
		return err
	}
	return c
}

func newPolicies() *cobra.Command {
	var p measurer.Policies
	var logFile string
	c := &cobra.Command{
		Use:   "policies",
		Short: "Measure the four measures of docs/MEASURES.md",
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
			if closed := f.Close(); err == nil {
				err = closed
			}
			return err
		},
	}
	c.Flags().DurationVar(&p.Phase, "phase", 0, "length of each phase; a death gets two (default 5s)")
	c.Flags().StringVar(&p.Scenario, "scenario", "", "measure only the calm phases and this scenario: flood, admitted-flood, outage, death, failover")
	c.Flags().StringVar(&p.User, "user", "", "measure only one user: obi-y-seda, atlas")
	c.Flags().StringVar(&logFile, "log", "", "file for the log lines of the instances")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of the load")
	return c
}

func newCapacity() *cobra.Command {
	var plot string
	c := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure the slopes of docs/CAPACITY.md",
		Example: "  go run ./cmd/measure capacity --plot docs/control_cost.svg",
		Args:    cobra.NoArgs,
	}
	c.Flags().StringVar(&plot, "plot", "", "file for a plot of the control traffic against the fleet's size")
	c.RunE = func(c *cobra.Command, _ []string) error {
		costs, err := measurer.Capacity(c.Context(), c.OutOrStdout())
		if err != nil || plot == "" {
			return err
		}
		return measurer.PlotFleet(plot, costs)
	}
	return c
}

func newDay() *cobra.Command {
	var p player.Player
	var plot string
	c := &cobra.Command{
		Use:   "day FILE",
		Short: "Play a day of load with faults through the line protocol",
		Long: "Play a day of load with faults on the stand-ins through the line protocol, with the real program as one\n" +
			"process for each instance, and print what callers got. FILE is JSON with comments; see deploy/loads.",
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
	c.Flags().StringVar(&p.Program, "program", "target/oleanderpulley", "program of an instance")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "seed of the load")
	c.Flags().StringVar(&plot, "plot", "", "file for a plot of each second, SVG")
	return c
}
