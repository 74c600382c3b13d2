package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"oleanderpulley/platform/drawer"
)

func newFailoverDaysCommand() *cobra.Command {
	var seed uint64
	var count int
	var chains bool
	c := &cobra.Command{
		Use:   "failover-days DIRECTORY",
		Short: "Draw day files with replaced primaries for the users' bench",
		Example: "  go run ./cmd/measure failover-days --seed 1000 --days 100 /tmp/days\n" +
			"  go run ./cmd/measure failover-days --chains --seed 2000 --days 60 /tmp/chains",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return writeFailoverDays(args[0], seed, count, chains)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first day; the others have the following ones")
	c.Flags().IntVar(&count, "days", 10, "number of days")
	c.Flags().BoolVar(&chains, "chains", false,
		"draw several replacements in a row, with planned changes and further troubles around them")
	return c
}

func writeFailoverDays(directory string, seed uint64, count int, chains bool) error {
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return errors.Wrap(err, "creating the directory")
	}
	family, draw := "failover", drawer.Day
	if chains {
		family, draw = "chain", drawer.Chain
	}
	for n := range uint64(max(count, 0)) {
		path := filepath.Join(directory, fmt.Sprintf("%s_%d.toml", family, seed+n))
		if err := os.WriteFile(path, []byte(draw(seed+n)), 0o600); err != nil {
			return errors.Wrap(err, "writing a day file")
		}
	}
	return nil
}
