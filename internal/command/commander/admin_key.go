package commander

import (
	"net/url"

	"github.com/spf13/cobra"
)

// keyBody is the body of a request to create a key.
type keyBody struct {
	AttemptID string `json:"attempt_id"`
	KeyID     string `json:"key_id"`
	Workspace string `json:"workspace"`
}

// attemptBody is the body of a change that has no other fields.
type attemptBody struct {
	AttemptID string `json:"attempt_id"`
}

func newAdminKey(client *adminClient) *cobra.Command {
	c := &cobra.Command{
		Use:   "key",
		Short: "Create, withdraw and list the keys of workspaces",
		Args:  exactArgs(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newAdminKeyCreate(client), newAdminKeyWithdraw(client), newAdminKeyList(client))
	return c
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

func newAdminKeyWithdraw(client *adminClient) *cobra.Command {
	c := &cobra.Command{
		Use:     "withdraw KEY_ID",
		Short:   "Withdraw a key, which also ends its open connections",
		Example: "  oleanderpulley admin key withdraw puebla-2026",
		Args:    exactArgs(1),
	}
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/keys/" + url.PathEscape(args[0])
		return client.call(c.Context(), c.OutOrStdout(), "DELETE", path, attemptBody{*attempt})
	}
	return c
}

func newAdminKeyList(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the keys with their workspaces and hashes",
		Example: "  oleanderpulley admin key list",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.call(c.Context(), c.OutOrStdout(), "GET", "/v1/keys", nil)
		},
	}
}
