package commander

import "github.com/spf13/cobra"

// rollbackBody is the body of a rollback request.
type rollbackBody struct {
	BaseVersion uint64 `json:"base_version"`
	ToVersion   uint64 `json:"to_version"`
	AttemptID   string `json:"attempt_id"`
}

func newAdminRollback(client *adminClient) *cobra.Command {
	var body rollbackBody
	c := &cobra.Command{
		Use:     "rollback",
		Short:   "Create a new version with the content of an older one",
		Example: "  oleanderpulley admin rollback --base-version 9 --to-version 7",
		Args:    exactArgs(0),
	}
	c.Flags().Uint64Var(&body.BaseVersion, "base-version", 0, "currently accepted version")
	c.Flags().Uint64Var(&body.ToVersion, "to-version", 0, "version whose content is restored")
	for _, name := range []string{"base-version", "to-version"} {
		_ = c.MarkFlagRequired(name) // Fails only for a flag that does not exist.
	}
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		body.AttemptID = *attempt
		return client.call(c.Context(), c.OutOrStdout(), "POST", "/v1/config/rollback", body)
	}
	return c
}
