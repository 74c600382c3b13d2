package commander

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"oleanderpulley/internal/protocol/loader"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check the settings of an instance",
		Args:  exactArgs(0),
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(newConfigCheck(), newConfigCheckEntry())
	return c
}

func newConfigCheck() *cobra.Command {
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print the effective settings",
		Long: "Check a settings file together with the environment and the flags, and print the effective\n" +
			"settings with secrets masked. An error contains the line, the setting and its range.",
		Example: "  oleanderpulley config check /etc/oleanderpulley.jsonc",
		Args:    exactArgs(1),
	}
	settings := addSettingFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		s, err := loader.Source{File: args[0], Environ: environ(), Overrides: settings()}.Load()
		if err != nil {
			return err
		}
		printed, err := s.MarshalMasked()
		if err != nil {
			return err
		}
		_, err = c.OutOrStdout().Write(append(printed, '\n'))
		return err
	}
	return c
}

func newConfigCheckEntry() *cobra.Command {
	return &cobra.Command{
		Use:     "check-entry FILE",
		Short:   "Check the settings file of an instance on the users' platform",
		Long:    "Check the settings that the platform's own file does not contain, and print the effective settings.",
		Example: "  oleanderpulley config check-entry deploy/entry.jsonc",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := loader.LoadObservabilitySettings(args[0])
			if err != nil {
				return err
			}
			printed, err := json.MarshalIndent(e, "", "  ")
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(append(printed, '\n'))
			return err
		},
	}
}
