package loader

import (
	"crypto/rand"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// ErrSettings reports invalid settings, with which an instance cannot start.
var ErrSettings = errors.New("settings")

// Source specifies where settings are loaded from. With the zero value, all
// settings have their defaults.
type Source struct {
	File      string                            // Path of the settings file; empty for none.
	Environ   []string                          // In the form of os.Environ.
	Overrides map[string]string                 // Values of flags by the path of the setting.
	ReadFile  func(name string) ([]byte, error) // If nil, os.ReadFile.
}

// Load returns the effective settings, including the secrets, which it reads from
// their files. An error about a value gives its origin: the line and column of
// the file, the environment variable, or the flag.
func (s Source) Load() (*Settings, error) {
	if s.ReadFile == nil {
		s.ReadFile = os.ReadFile
	}
	settings := &Settings{}
	fields := fieldsOf(settings)
	for _, f := range fields {
		if f.Default == "" {
			continue
		}
		if err := f.set(f.Default); err != nil {
			return nil, errors.Wrapf(err, "default of %s", f.Path)
		}
	}
	for _, apply := range []func([]Field) error{s.applyFile, s.applyEnvironment, s.applyOverrides} {
		if err := apply(fields); err != nil {
			return nil, err
		}
	}
	if settings.InstanceID == "" {
		settings.InstanceID = identifier.InstanceID("i-" + strings.ToLower(rand.Text()[:12]))
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return settings, settings.readSecrets(s.ReadFile)
}

func (s Source) applyFile(fields []Field) error {
	if s.File == "" {
		return nil
	}
	data, err := s.ReadFile(s.File)
	if err != nil {
		return errors.Wrap(ErrSettings, err.Error())
	}
	return parseFile(s.File, data, fields)
}

func (s Source) applyEnvironment(fields []Field) error {
	byName := make(map[string]Field, len(fields))
	for _, f := range fields {
		byName[f.Environment()] = f
	}
	for _, entry := range s.Environ {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix) {
			continue
		}
		f, ok := byName[name]
		if !ok {
			return errors.Wrapf(ErrSettings, "environment variable %s is not a known setting", name)
		}
		if err := f.set(value); err != nil {
			return errors.Wrapf(ErrSettings, "environment variable %s: %v", name, err)
		}
	}
	return nil
}

func (s Source) applyOverrides(fields []Field) error {
	for _, path := range slices.Sorted(maps.Keys(s.Overrides)) {
		i := slices.IndexFunc(fields, func(f Field) bool { return f.Path == path })
		if i < 0 {
			return errors.Wrapf(ErrSettings, "flag --%s is not a known setting", path)
		}
		if err := fields[i].set(s.Overrides[path]); err != nil {
			return errors.Wrapf(ErrSettings, "flag --%s: %v", path, err)
		}
	}
	return nil
}
