package commander

import (
	"net/url"

	"github.com/spf13/cobra"
)

// workspaceBody is the body of a request to set a workspace.
type workspaceBody struct {
	AttemptID string            `json:"attempt_id"`
	Workspace workspaceSettings `json:"workspace"`
}

type workspaceSettings struct {
	Services []string `json:"services"`
	Rate     float64  `json:"rate"`
	Burst    float64  `json:"burst"`
	Weight   float64  `json:"weight"`
}

func newAdminWorkspace(client *adminClient) *cobra.Command {
	c := &cobra.Command{
		Use:   "workspace",
		Short: "Set, delete and list workspaces",
		Args:  exactArgs(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newAdminWorkspaceSet(client), newAdminWorkspaceDelete(client), newAdminWorkspaceList(client))
	return c
}

func newAdminWorkspaceSet(client *adminClient) *cobra.Command {
	var settings workspaceSettings
	c := &cobra.Command{
		Use:     "set NAME",
		Short:   "Create a workspace or replace its settings",
		Example: "  oleanderpulley admin workspace set puebla --service rentas-core-1 --rate 200 --burst 400",
		Args:    exactArgs(1),
	}
	c.Flags().StringSliceVar(&settings.Services, "service", nil, "service that the workspace may use; may be repeated")
	c.Flags().Float64Var(&settings.Rate, "rate", 0, "requests per second over all instances")
	c.Flags().Float64Var(&settings.Burst, "burst", 0, "burst of requests over all instances")
	c.Flags().Float64Var(&settings.Weight, "weight", 1, "relative share under contention")
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/workspaces/" + url.PathEscape(args[0])
		return client.call(c.Context(), c.OutOrStdout(), "PUT", path, workspaceBody{*attempt, settings})
	}
	return c
}

func newAdminWorkspaceDelete(client *adminClient) *cobra.Command {
	c := &cobra.Command{
		Use:     "delete NAME",
		Short:   "Delete a workspace and its keys",
		Example: "  oleanderpulley admin workspace delete puebla",
		Args:    exactArgs(1),
	}
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/workspaces/" + url.PathEscape(args[0])
		return client.call(c.Context(), c.OutOrStdout(), "DELETE", path, attemptBody{*attempt})
	}
	return c
}

func newAdminWorkspaceList(client *adminClient) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the workspaces",
		Example: "  oleanderpulley admin workspace list",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.call(c.Context(), c.OutOrStdout(), "GET", "/v1/workspaces", nil)
		},
	}
}
