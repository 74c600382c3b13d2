package player

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Player plays a day. Program is the path of the program of the instances.
type Player struct {
	Program string
	Seed    uint64
}

// Play plays the day and returns what the callers got.
func (p Player) Play(ctx context.Context, d Day) (*Report, error) {
	directory, err := os.MkdirTemp("", "player")
	if err != nil {
		return nil, errors.Wrap(err, "making a directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	s, err := newStage(d, p.Program, directory)
	if err != nil {
		if s != nil {
			s.close()
		}
		return nil, err
	}
	defer s.close()
	start := time.Now()
	s.inject(start)
	var callers sync.WaitGroup
	var history history
	for i, r := range d.Routes {
		for j, w := range d.Workspaces {
			c := &source{
				stage: s, history: &history, route: r, workspace: w, isFirst: j == 0, start: start,
				perSecond: r.PerSecond * w.Weight / d.weight(),
				random:    rand.New(rand.NewPCG(p.Seed, uint64(i)<<32|uint64(j))),
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	callers.Wait()
	return newReport(d, p.Seed, &history, s.group.Runs()), ctx.Err()
}

func (d Day) weight() float64 {
	sum := 0.0
	for _, w := range d.Workspaces {
		sum += w.Weight
	}
	return sum
}
