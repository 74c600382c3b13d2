package commander

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of the program",
		Example: "  oleanderpulley version",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			version := "devel"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
				version = info.Main.Version
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "oleanderpulley %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
