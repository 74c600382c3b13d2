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
	var settingsFile, entryFile string
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an instance on the users' platform",
		Long: "Run an instance from the settings file of the users' platform until SIGTERM or SIGINT, which drains it.\n" +
			"Without --settings, the environment determines the file. --config is a file of JSON with comments for\n" +
			"the settings that the platform's file does not contain; see config check-entry.",
		Example: "  oleanderpulley entry --settings /etc/oleanderpulley/settings.conf --config deploy/entry.jsonc",
		Args:    exactArgs(0),
	}
	c.Flags().StringVar(&settingsFile, "settings", platform.SettingsPath(), "settings file of the platform")
	c.Flags().StringVar(&entryFile, "config", "", "settings that the platform's file does not contain, JSON with comments")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := platform.ReadSettings(settingsFile)
		if err != nil {
			return err
		}
		e, err := loader.LoadObservabilitySettings(entryFile)
		if err != nil {
			return err
		}
		return runEntry(c.Context(), s, e, c.OutOrStdout())
	}
	return c
}

// memoryLimitFraction is the soft memory limit of the Go runtime, as a fraction of
// the host's memory. The garbage collector runs more often close to it.
const memoryLimitFraction = 0.6

func runEntry(ctx context.Context, settings platform.Settings, e loader.ObservabilitySettings, out io.Writer) error {
	debug.SetGCPercent(e.GCPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMiB) * (1 << 20)))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	logWriter := &logger.Writer{Out: out, Rate: e.LogLinesPerSecond}
	defer logWriter.Close()
	s := &starter.Starter{Settings: settings, MetricsPort: e.MetricsPort, Logger: newEntryLogger(settings, e, logWriter)}
	defer s.Close()
	if err := s.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-signals:
			s.Drain(ctx)
			return nil
		case <-reloadSignals:
			s.Logger.Info().Str("event", "reload_requested").Send()
		case <-ctx.Done():
			return nil
		case <-s.Done():
			return errors.New("client listener ended unexpectedly")
		}
	}
}

func newEntryLogger(s platform.Settings, e loader.ObservabilitySettings, w io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(e.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel // Not reached: LoadObservabilitySettings has validated the level.
	}
	return zerolog.New(w).Level(level).With().
		Str("instance", string(s.InstanceID)).Str("data_centre", string(s.DataCentre)).Logger().Hook(timeHook{})
}

// timeHook adds the UTC time with milliseconds to each event.
type timeHook struct{}

// Run implements [zerolog.Hook].
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}
