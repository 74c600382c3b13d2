package loader

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/tailscale/hujson"
)

// Entry holds the settings of an instance on the users' platform that the
// platform's own settings file does not give.
type Entry struct {
	MetricsPort       int     `json:"metrics_port"`         // TCP port on the instance's address; 0 serves no metrics.
	LogLevel          string  `json:"log_level"`            // debug, info, warn or error.
	LogLinesPerSecond float64 `json:"log_lines_per_second"` // Of one kind of event, 1 to 10000.
}

// DefaultEntry returns the settings that hold without a file.
func DefaultEntry() Entry {
	return Entry{MetricsPort: 9464, LogLevel: "info", LogLinesPerSecond: 40}
}

// LoadEntry reads a file of JSON with comments. Settings that it does not name
// keep their defaults. It returns [ErrSettings] for an unknown setting or a
// value out of range. An empty name gives the defaults.
func LoadEntry(file string) (Entry, error) {
	e := DefaultEntry()
	if file == "" {
		return e, nil
	}
	data, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return e, errors.Wrap(ErrSettings, err.Error())
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return e, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	return e, e.check(file)
}

func (e Entry) check(file string) error {
	if e.MetricsPort < 0 || e.MetricsPort > 65535 {
		return errors.Wrapf(ErrSettings, "%s: metrics_port %d is not between 0 and 65535", file, e.MetricsPort)
	}
	if _, err := zerolog.ParseLevel(e.LogLevel); err != nil || e.LogLevel == "" {
		return errors.Wrapf(ErrSettings, "%s: log_level %q is not debug, info, warn or error", file, e.LogLevel)
	}
	if e.LogLinesPerSecond < 1 || e.LogLinesPerSecond > 10_000 {
		return errors.Wrapf(ErrSettings, "%s: log_lines_per_second %v is not between 1 and 10000", file, e.LogLinesPerSecond)
	}
	return nil
}
