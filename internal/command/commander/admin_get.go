package commander

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newAdminGet(client *adminClient) *cobra.Command {
	var version uint64
	c := &cobra.Command{
		Use:     "get",
		Short:   "Print the accepted configuration",
		Example: "  oleanderpulley admin get -o json --version 12",
		Args:    exactArgs(0),
	}
	c.Flags().Uint64Var(&version, "version", 0, "version to print; 0 means the accepted version")
	c.RunE = func(c *cobra.Command, _ []string) error {
		path := "/v1/config"
		if version > 0 {
			path += fmt.Sprintf("?version=%d", version)
		}
		return client.call(c.Context(), c.OutOrStdout(), "GET", path, nil)
	}
	return c
}
