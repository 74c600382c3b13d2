package commander

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newAdminHistory(client *adminClient) *cobra.Command {
	var limit int
	c := &cobra.Command{
		Use:     "history",
		Short:   "Print the latest versions with author, time and changes",
		Example: "  oleanderpulley admin history --limit 5",
		Args:    exactArgs(0),
	}
	c.Flags().IntVar(&limit, "limit", 20, "number of versions")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return client.call(c.Context(), c.OutOrStdout(), "GET", fmt.Sprintf("/v1/config/history?limit=%d", limit), nil)
	}
	return c
}
