package loader

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/tailscale/hujson"
)

// ObservabilitySettings holds the settings of an instance on the users'
// platform that are not part of the platform's own settings file.
type ObservabilitySettings struct {
	MetricsPort       int     `json:"metrics_port"`         // TCP port on the instance's address; 0 disables metrics.
	LogLevel          string  `json:"log_level"`            // debug, info, warn or error.
	LogLinesPerSecond float64 `json:"log_lines_per_second"` // Limit for each kind of event, 1 to 10000.
	// GCPercent is the growth of the heap, in percent, after which the garbage
	// collector runs, 10 to 400. A low value saves memory and costs processor time.
	GCPercent int `json:"gc_percent"`
}

// DefaultObservabilitySettings returns the settings that apply without a file.
func DefaultObservabilitySettings() ObservabilitySettings {
	return ObservabilitySettings{MetricsPort: 9464, LogLevel: "info", LogLinesPerSecond: 40, GCPercent: 40}
}

// LoadObservabilitySettings reads the settings from a file of JSON with
// comments. Settings that are not in the file have their defaults; with an
// empty file name, all have. It returns [ErrSettings] for a file that cannot be
// read, an unknown setting or a value out of range.
func LoadObservabilitySettings(file string) (ObservabilitySettings, error) {
	e := DefaultObservabilitySettings()
	if file == "" {
		return e, nil
	}
	data, err := os.ReadFile(file) //nolint:gosec // The operator chooses the file.
	if err != nil {
		return e, errors.Wrap(ErrSettings, err.Error())
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return e, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, errors.Wrapf(ErrSettings, "%s: %v", file, err)
	}
	return e, e.validate(file)
}

func (e ObservabilitySettings) validate(file string) error {
	if e.MetricsPort < 0 || e.MetricsPort > 65535 {
		return errors.Wrapf(ErrSettings, "%s: metrics_port %d is not between 0 and 65535", file, e.MetricsPort)
	}
	if _, err := zerolog.ParseLevel(e.LogLevel); err != nil || e.LogLevel == "" {
		return errors.Wrapf(ErrSettings, "%s: log_level %q is not debug, info, warn or error", file, e.LogLevel)
	}
	if e.LogLinesPerSecond < 1 || e.LogLinesPerSecond > 10_000 {
		return errors.Wrapf(ErrSettings, "%s: log_lines_per_second %v is not between 1 and 10000", file, e.LogLinesPerSecond)
	}
	if e.GCPercent < 10 || e.GCPercent > 400 {
		return errors.Wrapf(ErrSettings, "%s: gc_percent %d is not between 10 and 400", file, e.GCPercent)
	}
	return nil
}
