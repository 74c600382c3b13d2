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
	r := resource{use: "workspace", short: "Set, delete and list workspaces", path: "/v1/workspaces"}
	return r.command(
		newAdminWorkspaceSet(client),
		r.remove(client, "delete", "NAME", "Delete a workspace and its keys", "puebla"),
		r.list(client, "List the workspaces"),
	)
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
