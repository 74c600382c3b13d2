package commander

import (
	"net/url"

	"github.com/spf13/cobra"
)

// retireBody is the body of a request to retire a data centre.
type retireBody struct {
	Confirm string `json:"confirm"`
}

func newAdminRetire(client *adminClient) *cobra.Command {
	var confirm string
	c := &cobra.Command{
		Use:   "retire DATA_CENTRE",
		Short: "Stop requiring a permanently lost data centre to accept changes",
		Long: "Stop requiring a permanently lost data centre to accept changes. The operator must make sure that none of\n" +
			"its instances still serves: an instance that is only partitioned would continue with an old version.",
		Example: "  oleanderpulley admin retire centro-c --confirm centro-c",
		Args:    exactArgs(1),
	}
	c.Flags().StringVar(&confirm, "confirm", "", "the name of the data centre, repeated")
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/data_centres/" + url.PathEscape(args[0]) + "/retire"
		return client.call(c.Context(), c.OutOrStdout(), "POST", path, retireBody{confirm})
	}
	return c
}
