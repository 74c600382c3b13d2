package commander

import "github.com/spf13/cobra"

// keyBody is the body of a request to create a key.
type keyBody struct {
	AttemptID string `json:"attempt_id"`
	KeyID     string `json:"key_id"`
	Workspace string `json:"workspace"`
}

func newAdminKey(client *adminClient) *cobra.Command {
	r := resource{use: "key", short: "Create, withdraw and list the keys of workspaces", path: "/v1/keys"}
	return r.command(
		newAdminKeyCreate(client),
		r.remove(client, "withdraw", "KEY_ID", "Withdraw a key, which also ends its open connections", "puebla-2026"),
		r.list(client, "List the keys with their workspaces and hashes"),
	)
}

func newAdminKeyCreate(client *adminClient) *cobra.Command {
	c := &cobra.Command{
		Use:     "create WORKSPACE KEY_ID",
		Short:   "Create a key and print its secret, which is not shown again",
		Example: "  oleanderpulley admin key create puebla puebla-2027",
		Args:    exactArgs(2),
	}
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		body := keyBody{AttemptID: *attempt, Workspace: args[0], KeyID: args[1]}
		return client.call(c.Context(), c.OutOrStdout(), "POST", "/v1/keys", body)
	}
	return c
}
