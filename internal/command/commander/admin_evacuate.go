package commander

import (
	"net/url"

	"github.com/spf13/cobra"
)

// dataCentreBody is the body of a request to evacuate or return a data centre.
type dataCentreBody struct {
	AttemptID string `json:"attempt_id"`
}

func newAdminEvacuate(client *adminClient) *cobra.Command {
	return newDataCentreChange(client, "evacuate", &cobra.Command{
		Use:   "evacuate DATA_CENTRE",
		Short: "Take the backend servers of a data centre out of use",
		Long: "Take the backend servers of a data centre out of use. Reads go elsewhere at once, primaries are replaced by\n" +
			"backend servers elsewhere, and open transactions there end after a grace period of 1.5 s. A service without\n" +
			"backend servers elsewhere is refused. \"admin status\" shows the progress, \"admin return\" is the rollback.",
		Example: "  oleanderpulley admin evacuate centro-c",
	})
}

func newAdminReturn(client *adminClient) *cobra.Command {
	return newDataCentreChange(client, "return", &cobra.Command{
		Use:     "return DATA_CENTRE",
		Short:   "Use the backend servers of an evacuated data centre again",
		Long:    "Use the backend servers of an evacuated data centre again. Primaries do not move back.",
		Example: "  oleanderpulley admin return centro-c",
	})
}

// newDataCentreChange completes a command that submits the change with the given
// name for a data centre.
func newDataCentreChange(client *adminClient, change string, c *cobra.Command) *cobra.Command {
	c.Args = exactArgs(1)
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/data_centres/" + url.PathEscape(args[0]) + "/" + change
		return client.call(c.Context(), c.OutOrStdout(), "POST", path, dataCentreBody{*attempt})
	}
	return c
}
