package commander

import (
	"crypto/rand"

	"github.com/spf13/cobra"
)

func newAdmin() *cobra.Command {
	client := &adminClient{}
	c := &cobra.Command{
		Use:   "admin",
		Short: "Administer an installation through any of its instances",
		Long: "Administer an installation through the API of any of its instances. A change is in force everywhere when\n" +
			"the command exits with 0. Exit code 3 means that the outcome is undecided: repeat the command with the same\n" +
			"--attempt-id, which never applies a change twice.",
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	flags := c.PersistentFlags()
	flags.StringVar(&client.url, "url", "http://127.0.0.1:6480", "address of the API")
	flags.StringVar(&client.tokenFile, "token-file", "", "file with the operator's token")
	flags.StringVar(&client.caFile, "ca-file", "", "CA certificate file for the API's certificate; default: the system's CAs")
	flags.StringVarP(&client.output, "output", "o", "table", "output format: table or json")
	c.AddCommand(newAdminGet(client), newAdminPatch(client), newAdminHistory(client), newAdminRollback(client),
		newAdminWorkspace(client), newAdminKey(client), newAdminStatus(client), newAdminRetire(client),
		newAdminEvacuate(client), newAdminReturn(client))
	return c
}

// addAttemptFlag adds --attempt-id. Its default is a random id, for commands that
// are not repeated.
func addAttemptFlag(c *cobra.Command) *string {
	return c.Flags().String("attempt-id", "cli-"+rand.Text(), "id of the change; repeating a change with the same id does not apply it twice")
}
