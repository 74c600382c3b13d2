package soaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errNotReady reports instances that did not begin to serve.
var errNotReady = errors.New("no instance began to serve in time")

const (
	startLimit = 15 * time.Second
	// settle is the time without faults at the end, after which callers must
	// be served again.
	settle = 6 * time.Second
	// servedAtEnd is the part of the last operations that must be served.
	servedAtEnd = 0.5
)

// Soak describes a run.
type Soak struct {
	Seed      uint64
	Program   string
	Instances int
	Clients   int
	Length    time.Duration
	Logs      string // Directory for the logs of a failed run; "" keeps none.
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Operations int
	Served     int
	Unknown    int
	Faults     []string
	Broken     []string // What broke, one line each.
}

// OK reports whether every promise was kept.
func (r Report) OK() bool {
	return len(r.Broken) == 0
}

// String returns one line, and one for each broken promise.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d operations, %d served, %d unknown, %d faults, %d broken",
		r.Seed, r.Operations, r.Served, r.Unknown, len(r.Faults), len(r.Broken))
	for _, line := range r.Broken {
		b.WriteString("\n  " + line)
	}
	return b.String()
}

// Run plays one seed.
func (s Soak) Run() (Report, error) {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "making a directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	w, err := newWorld(s, directory)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.startAll(); err != nil {
		return Report{}, err
	}
	h := &history{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.Clients {
		c := &caller{world: w, history: h, number: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)+100))}
		callers.Go(func() { c.run(stop) })
	}
	faults := w.injectAll(rand.New(rand.NewPCG(s.Seed, 1)), s.Length)
	time.Sleep(settle)
	close(stop)
	callers.Wait()
	r := h.check(w)
	r.Seed, r.Faults = s.Seed, faults
	if !r.OK() && s.Logs != "" {
		err = s.keepLogs(directory)
	}
	return r, err
}

func (s Soak) keepLogs(directory string) error {
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		return errors.Wrap(err, "listing logs")
	}
	kept := filepath.Join(s.Logs, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(kept, 0o750); err != nil {
		return errors.Wrap(err, "keeping logs")
	}
	for _, name := range files {
		data, err := os.ReadFile(name) //nolint:gosec // Made by this run.
		if err != nil {
			return errors.Wrap(err, "keeping logs")
		}
		if err := os.WriteFile(filepath.Join(kept, filepath.Base(name)), data, 0o600); err != nil { //nolint:gosec // The directory is the caller's.
			return errors.Wrap(err, "keeping logs")
		}
	}
	return nil
}
