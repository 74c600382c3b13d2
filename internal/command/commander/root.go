package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	ExitFailure   = 1
	ExitUsage     = 2
	ExitUndecided = 3
)

// errUsage is the cause of every error in the arguments.
var errUsage = errors.New("usage")

// Main runs the program with the given arguments, without the program name, and
// returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "error: %v\n", err)
	return exitCode(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "oleanderpulley",
		Short:         "PostgreSQL proxy with session consistency",
		Long:          "oleanderpulley is a proxy between PostgreSQL clients and groups of backend servers.\nExit codes: 0 success, 1 failure, 2 invalid arguments, 3 undecided change.",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(errUsage, err.Error()) })
	root.AddCommand(newServe(), newEntry(), newExplain(), newConfig(), newAdmin(), newDemo(), newVersion())
	return root
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errUndecided):
		return ExitUndecided
	default:
		return ExitFailure
	}
}

// exactArgs is cobra.ExactArgs with an error that wraps errUsage, for exit code 2.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		return nil
	}
}

func environ() []string { return os.Environ() }
