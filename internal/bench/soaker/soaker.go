package soaker

import (
	"context"
	stderrors "errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// settle is the time without faults at the end, after which callers must
	// be served again.
	settle = 6 * time.Second
	// servedAtEnd is the part of the last operations that must be served.
	servedAtEnd = 0.5
	// mostLines is the number of broken promises that a report tells one by one.
	mostLines = 10
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

// String returns one line, and one for each of the first broken promises.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d operations, %d served, %d unknown, %d faults, %d broken",
		r.Seed, r.Operations, r.Served, r.Unknown, len(r.Faults), len(r.Broken))
	for i, line := range r.Broken {
		if i == mostLines {
			b.WriteString("\n  ...")
			break
		}
		b.WriteString("\n  " + line)
	}
	return b.String()
}

// Run plays one seed. It ends early, without a report, with the context.
func (s Soak) Run(ctx context.Context) (Report, error) {
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
		return Report{}, stderrors.Join(err, s.keepLogs(directory))
	}
	h := &history{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.Clients {
		c := &caller{world: w, history: h, number: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)+100))}
		callers.Go(func() { c.run(stop) })
	}
	faults := w.injectAll(ctx, rand.New(rand.NewPCG(s.Seed, 1)), s.Length)
	pause(ctx, settle)
	close(stop)
	callers.Wait()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := h.check(w)
	r.Seed, r.Faults = s.Seed, faults
	if !r.OK() {
		err = s.keepLogs(directory)
	}
	return r, err
}

// pause sleeps, at most until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// keepLogs copies the logs of the instances to where the caller wants them.
func (s Soak) keepLogs(directory string) error {
	if s.Logs == "" {
		return nil
	}
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
