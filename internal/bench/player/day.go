package player

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// ErrDay reports a file that does not describe a day.
var ErrDay = errors.New("file does not describe a day of load")

// Seconds is a time in the file of a day.
type Seconds float64

// Duration returns the time.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Milliseconds is a short time in the file of a day.
type Milliseconds float64

// Duration returns the time.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Day is a day of load.
type Day struct {
	Length      Seconds  `json:"length_seconds"`
	Instances   int      `json:"instances"`
	DataCentres []string `json:"data_centres"`
	Service     Service  `json:"service"`

	Workspaces []Workspace `json:"workspaces"`
	Routes     []Route     `json:"routes"`
	Faults     []Fault     `json:"faults"`
}

// Service is the database group, of three servers.
type Service struct {
	MaxConnections int          `json:"max_connections"`
	Slots          int          `json:"slots"` // Statements that a server runs at the same time.
	Queue          int          `json:"queue"` // Statements that wait for a slot before it refuses.
	Work           Milliseconds `json:"work_milliseconds"`
	Connect        Milliseconds `json:"connect_milliseconds"` // Of a new connection, in a slot.
}

// Workspace is a tenant of the load.
type Workspace struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`   // Operations a second, also its burst.
	Weight float64 `json:"weight"` // Its part of the load.
}

// Route is a kind of request.
type Route struct {
	Name         string       `json:"name"`
	Consistency  string       `json:"consistency"` // As the platform names it.
	PerSecond    float64      `json:"per_second"`  // Over all workspaces.
	WriteShare   float64      `json:"write_share"`
	Target       Milliseconds `json:"target_milliseconds"`
	Timeout      Milliseconds `json:"timeout_milliseconds"`
	MaxStaleness Milliseconds `json:"max_staleness_milliseconds"`
}

// Fault is a disruption at a time.
type Fault struct {
	At    Seconds `json:"at_seconds"`
	For   Seconds `json:"for_seconds"`
	Kind  string  `json:"kind"`  // A name of [Kinds].
	Times float64 `json:"times"` // Of a flood: the load of the first workspace in multiples.
}

// LoadDay reads a file of JSON with comments.
func LoadDay(file string) (Day, error) {
	data, err := os.ReadFile(file) //nolint:gosec // The user names the file.
	if err != nil {
		return Day{}, errors.Wrap(ErrDay, err.Error())
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return Day{}, errors.Wrapf(ErrDay, "%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var d Day
	if err := decoder.Decode(&d); err != nil {
		return Day{}, errors.Wrapf(ErrDay, "%s: %v", file, err)
	}
	return d, errors.Wrap(d.check(), file)
}

func (d Day) check() error {
	switch {
	case d.Length <= 0:
		return errors.Wrap(ErrDay, "length_seconds is not above 0")
	case d.Instances < 1 || d.Instances > 100:
		return errors.Wrapf(ErrDay, "instances %d is not between 1 and 100", d.Instances)
	case len(d.DataCentres) == 0:
		return errors.Wrap(ErrDay, "data_centres is empty")
	case len(d.Workspaces) == 0 || len(d.Routes) == 0:
		return errors.Wrap(ErrDay, "workspaces or routes is empty")
	case d.Service.Slots < 1 || d.Service.MaxConnections < 1:
		return errors.Wrap(ErrDay, "service.slots or service.max_connections is below 1")
	}
	for _, w := range d.Workspaces {
		if w.Name == "" || w.Rate <= 0 || w.Weight <= 0 {
			return errors.Wrapf(ErrDay, "workspace %q: name, rate or weight is missing", w.Name)
		}
	}
	for _, r := range d.Routes {
		if r.Name == "" || r.PerSecond <= 0 || r.Timeout <= 0 || r.Target <= 0 {
			return errors.Wrapf(ErrDay, "route %q: name, per_second, target or timeout is missing", r.Name)
		}
	}
	for _, f := range d.Faults {
		if _, ok := Kinds[f.Kind]; !ok {
			return errors.Wrapf(ErrDay, "fault at %v s: kind %q is not known", f.At, f.Kind)
		}
	}
	return nil
}
