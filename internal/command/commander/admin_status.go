package commander

import "github.com/spf13/cobra"

func newAdminStatus(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Print the instance's status, including its view of its groups and peers",
		Example: "  oleanderpulley admin status -o json",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.call(c.Context(), c.OutOrStdout(), "GET", "/v1/status", nil)
		},
	}
}
