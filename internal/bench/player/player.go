package player

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Player runs days of load. Program is the path of the executable of the instances.
type Player struct {
	Program string
	Seed    uint64
}

// Play runs the day and reports the results of its requests. If the context is
// cancelled, Play ends early and also returns the error of the context.
func (p Player) Play(ctx context.Context, d Day) (*Report, error) {
	directory, err := os.MkdirTemp("", "player")
	if err != nil {
		return nil, errors.Wrap(err, "creating a temporary directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	e, err := newEnvironment(d, p.Program, directory)
	if err != nil {
		if e != nil {
			e.close()
		}
		return nil, err
	}
	defer e.close()
	start := time.Now()
	e.scheduleFaults(start)
	var generators sync.WaitGroup
	var history history
	for i, r := range d.Routes {
		for j, w := range d.Workspaces {
			g := &generator{
				environment: e, history: &history, route: r, workspace: w, followsFlood: j == 0, start: start,
				perSecond: r.PerSecond * w.Weight / d.totalWeight(),
				random:    rand.New(rand.NewPCG(p.Seed, uint64(i)<<32|uint64(j))),
			}
			generators.Go(func() { g.run(ctx) })
		}
	}
	generators.Wait()
	return newReport(d, p.Seed, &history, e.group.Executions()), ctx.Err()
}

func (d Day) totalWeight() float64 {
	sum := 0.0
	for _, w := range d.Workspaces {
		sum += w.Weight
	}
	return sum
}
