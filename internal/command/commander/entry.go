package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"oleanderpulley/internal/command/starter"
	"oleanderpulley/platform"
)

func newEntry() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an instance on the users' platform",
		Long: "Run an instance from the settings file of the users' platform until SIGTERM or SIGINT, which drains it.\n" +
			"Without --settings, the environment names the file.",
		Example: "  oleanderpulley entry --settings /etc/oleanderpulley/settings.conf",
		Args:    exactArgs(0),
	}
	c.Flags().StringVar(&file, "settings", platform.SettingsPath(), "settings file of the platform")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := platform.ReadSettings(file)
		if err != nil {
			return err
		}
		return runEntry(c.Context(), s, c.OutOrStdout())
	}
	return c
}

// memoryPart is the part of the machine's memory at which the garbage collector
// starts to work harder.
const memoryPart = 0.6

func runEntry(ctx context.Context, settings platform.Settings, logs io.Writer) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMiB) * (1 << 20)))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s := &starter.Starter{Settings: settings, Logger: newEntryLogger(settings, logs)}
	defer s.Close()
	if err := s.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-signals:
			s.Drain(ctx)
			return nil
		case <-hangups:
			s.Logger.Info().Str("event", "reload_requested").Send()
		case <-ctx.Done():
			return nil
		case <-s.Done():
			return errors.New("listener for clients ended")
		}
	}
}

func newEntryLogger(s platform.Settings, w io.Writer) zerolog.Logger {
	return keyValueLogger(w).Level(zerolog.InfoLevel).With().Timestamp().
		Str("instance", string(s.InstanceID)).Str("data_centre", string(s.DataCentre)).Logger()
}
