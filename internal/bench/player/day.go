package player

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalidDay is returned for a file that cannot be read as a [Day] or has invalid
// values.
var ErrInvalidDay = errors.New("invalid day of load")

// Seconds is a duration in seconds in the file of a day.
type Seconds float64

// Duration converts s to a [time.Duration].
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Milliseconds is a duration in milliseconds in the file of a day.
type Milliseconds float64

// Duration converts m to a [time.Duration].
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Day is the scenario of a load test: the instances, the database service, the load
// and the faults.
type Day struct {
	Length      Seconds  `json:"length_seconds"`
	Instances   int      `json:"instances"`
	DataCentres []string `json:"data_centres"`
	Service     Service  `json:"service"`

	Workspaces []Workspace `json:"workspaces"`
	Routes     []Route     `json:"routes"`
	Faults     []Fault     `json:"faults"`
}

// Service describes the database service, which has three backend servers.
type Service struct {
	MaxConnections int          `json:"max_connections"`
	Slots          int          `json:"slots"`                // Maximum number of concurrent statements per server.
	QueueLimit     int          `json:"queue"`                // Maximum number of statements that wait for a slot; more are refused.
	StatementTime  Milliseconds `json:"work_milliseconds"`    // Service time of a statement.
	ConnectTime    Milliseconds `json:"connect_milliseconds"` // Service time of a new connection, which occupies a slot.
}

// Workspace is one workspace that sends requests.
type Workspace struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`   // Limit in operations per second; the burst is the same number.
	Weight float64 `json:"weight"` // Relative share of the load.
}

// Route is a route of the proxy and the load on it.
type Route struct {
	Name         string       `json:"name"`
	Consistency  string       `json:"consistency"` // Route type in the configuration of the platform.
	PerSecond    float64      `json:"per_second"`  // Requests per second of all workspaces together.
	WriteShare   float64      `json:"write_share"`
	Target       Milliseconds `json:"target_milliseconds"`
	Timeout      Milliseconds `json:"timeout_milliseconds"`
	MaxStaleness Milliseconds `json:"max_staleness_milliseconds"`
}

// Fault is one scheduled fault.
type Fault struct {
	At    Seconds `json:"at_seconds"`
	For   Seconds `json:"for_seconds"`
	Kind  string  `json:"kind"`  // A key of [FaultKinds].
	Times float64 `json:"times"` // For a flood: factor by which the load of the first workspace grows.
}

// LoadDay reads and validates a day from a file of JSON with comments. It returns
// [ErrInvalidDay] for every failure.
func LoadDay(file string) (Day, error) {
	data, err := os.ReadFile(file) //nolint:gosec // The user chooses the file.
	if err != nil {
		return Day{}, errors.Wrap(ErrInvalidDay, err.Error())
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return Day{}, errors.Wrapf(ErrInvalidDay, "%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var d Day
	if err := decoder.Decode(&d); err != nil {
		return Day{}, errors.Wrapf(ErrInvalidDay, "%s: %v", file, err)
	}
	return d, errors.Wrap(d.check(), file)
}

func (d Day) check() error {
	switch {
	case d.Length <= 0:
		return errors.Wrapf(ErrInvalidDay, "length_seconds %v is not above 0", float64(d.Length))
	case d.Instances < 1 || d.Instances > 100:
		return errors.Wrapf(ErrInvalidDay, "instances %d is not between 1 and 100", d.Instances)
	case len(d.DataCentres) == 0:
		return errors.Wrap(ErrInvalidDay, "data_centres is empty")
	case len(d.Workspaces) == 0 || len(d.Routes) == 0:
		return errors.Wrap(ErrInvalidDay, "workspaces or routes is empty")
	case d.Service.Slots < 1 || d.Service.MaxConnections < 1:
		return errors.Wrapf(ErrInvalidDay, "service.slots %d or service.max_connections %d is below 1", d.Service.Slots, d.Service.MaxConnections)
	}
	for _, w := range d.Workspaces {
		if w.Name == "" || w.Rate <= 0 || w.Weight <= 0 {
			return errors.Wrapf(ErrInvalidDay, "workspace %q: name is missing, or rate %v or weight %v is not above 0", w.Name, w.Rate, w.Weight)
		}
	}
	for _, r := range d.Routes {
		if r.Name == "" || r.PerSecond <= 0 || r.Timeout <= 0 || r.Target <= 0 {
			return errors.Wrapf(ErrInvalidDay, "route %q: name is missing, or per_second %v, target_milliseconds %v or timeout_milliseconds %v is not above 0",
				r.Name, r.PerSecond, float64(r.Target), float64(r.Timeout))
		}
	}
	for _, f := range d.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return errors.Wrapf(ErrInvalidDay, "fault at %v s: unknown kind %q", f.At, f.Kind)
		}
	}
	return nil
}
