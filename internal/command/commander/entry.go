package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"oleanderpulley/internal/command/starter"
	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/transport/logger"
	"oleanderpulley/platform"
)

func newEntry() *cobra.Command {
	var file, config string
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an instance on the users' platform",
		Long: "Run an instance from the settings file of the users' platform until SIGTERM or SIGINT, which drains it.\n" +
			"Without --settings, the environment names the file. --config names a file of JSON with comments for\n" +
			"what the platform's file does not give; see config check-entry.",
		Example: "  oleanderpulley entry --settings /etc/oleanderpulley/settings.conf --config deploy/entry.jsonc",
		Args:    exactArgs(0),
	}
	c.Flags().StringVar(&file, "settings", platform.SettingsPath(), "settings file of the platform")
	c.Flags().StringVar(&config, "config", "", "settings that the platform does not give, JSON with comments")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := platform.ReadSettings(file)
		if err != nil {
			return err
		}
		e, err := loader.LoadEntry(config)
		if err != nil {
			return err
		}
		return runEntry(c.Context(), s, e, c.OutOrStdout())
	}
	return c
}

// memoryPart is the part of the machine's memory at which the garbage collector
// starts to work harder.
const memoryPart = 0.6

func runEntry(ctx context.Context, settings platform.Settings, e loader.Entry, out io.Writer) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMiB) * (1 << 20)))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lines := &logger.Writer{Out: out, Rate: e.LogLinesPerSecond}
	defer lines.Close()
	s := &starter.Starter{Settings: settings, MetricsPort: e.MetricsPort, Logger: newEntryLogger(settings, e, lines)}
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

func newEntryLogger(s platform.Settings, e loader.Entry, w io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(e.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel // The settings were checked.
	}
	return zerolog.New(w).Level(level).With().
		Str("instance", string(s.InstanceID)).Str("data_centre", string(s.DataCentre)).Logger().Hook(timeHook{})
}

// timeHook adds the time of day with milliseconds.
type timeHook struct{}

// Run implements [zerolog.Hook].
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}
