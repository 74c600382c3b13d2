package commander

import (
	"net/url"

	"github.com/spf13/cobra"
)

// resource is a kind of object that operators list, change and delete by name.
type resource struct {
	use, short string // Of the command that groups the others.
	path       string // Of the collection in the API.
}

// command returns the command that groups the given ones.
func (r resource) command(commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   r.use,
		Short: r.short,
		Args:  exactArgs(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(commands...)
	return c
}

// list returns the command that lists all objects.
func (r resource) list(client *adminClient, short string) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   short,
		Example: "  oleanderpulley admin " + r.use + " list",
		Args:    exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return client.call(c.Context(), c.OutOrStdout(), "GET", r.path, nil)
		},
	}
}

// attemptBody is the body of a change that has no other fields.
type attemptBody struct {
	AttemptID string `json:"attempt_id"`
}

// remove returns the command that deletes an object, with the name of the command
// and of its argument.
func (r resource) remove(client *adminClient, name, argument, short, example string) *cobra.Command {
	c := &cobra.Command{
		Use:     name + " " + argument,
		Short:   short,
		Example: "  oleanderpulley admin " + r.use + " " + name + " " + example,
		Args:    exactArgs(1),
	}
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return client.call(c.Context(), c.OutOrStdout(), "DELETE", r.path+"/"+url.PathEscape(args[0]), attemptBody{*attempt})
	}
	return c
}
