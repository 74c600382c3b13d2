package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"oleanderpulley/internal/command/runner"
	"oleanderpulley/internal/protocol/loader"
)

// errDrainInterrupted is returned when a second signal ends the drain, which may
// abort requests in progress.
var errDrainInterrupted = errors.New("a second signal ended the instance before its drain was complete")

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Long: "Run an instance until SIGTERM or SIGINT, which drains it. A second signal ends it at once.\n" +
			"Flags take precedence over environment variables, and these over the settings file.",
		Example: "  oleanderpulley serve --config /etc/oleanderpulley.jsonc --timeouts.drain 10s",
		Args:    exactArgs(0),
	}
	c.Flags().StringVar(&file, "config", "", "settings file, JSON with comments")
	settings := addSettingFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := loader.Source{File: file, Environ: environ(), Overrides: settings()}.Load()
		if err != nil {
			return err
		}
		return serve(c.Context(), s, c.ErrOrStderr())
	}
	return c
}

// addSettingFlags adds a flag for each setting and returns a function that
// returns the values of the flags that were set, by setting path.
func addSettingFlags(c *cobra.Command) func() map[string]string {
	values := map[string]*string{}
	for _, f := range loader.Fields() {
		values[f.Path] = c.Flags().String(f.Path, "", f.Usage)
	}
	return func() map[string]string {
		changed := map[string]string{}
		for path, value := range values {
			if c.Flags().Changed(path) {
				changed[path] = *value
			}
		}
		return changed
	}
}

func serve(ctx context.Context, s *loader.Settings, logs io.Writer) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	r := &runner.Runner{Settings: s, Logger: newLogger(s, logs)}
	defer r.Close()
	if err := r.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-ctx.Done():
	case <-r.Done():
		return errors.New("client listener ended unexpectedly")
	}
	drainCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		r.Drain(drainCtx)
	}()
	select {
	case <-drained:
		return nil
	case <-signals:
		return errDrainInterrupted
	}
}

// newLogger returns a logger with the level of the settings, which adds the
// instance and its data centre to each event.
func newLogger(s *loader.Settings, w io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return keyValueLogger(w).Level(level).With().Timestamp().
		Str("instance", string(s.InstanceID)).Str("data_centre", string(s.DataCentre)).Logger()
}

// keyValueLogger returns a logger that writes each event as a line of key=value
// pairs.
func keyValueLogger(w io.Writer) zerolog.Logger {
	console := zerolog.ConsoleWriter{
		Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatTimestamp:  func(v any) string { return "time=" + formatLogValue(v) },
		FormatLevel:      func(v any) string { return "level=" + formatLogValue(v) },
		FormatFieldName:  func(v any) string { return formatLogValue(v) + "=" },
		FormatFieldValue: formatLogValue,
	}
	return zerolog.New(console)
}
