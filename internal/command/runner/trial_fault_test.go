package runner_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/launcher"
)

// faults runs the schedule. Each fault lasts for a while, and the next one
// comes before it has ended as often as not.
func (tr *trial) faults(ctx context.Context) {
	random := rand.New(rand.NewPCG(tr.seed, 1<<32))
	var ending sync.WaitGroup
	for range trialFaults {
		kind := random.IntN(9)
		lasts := time.Duration(500+random.IntN(3000)) * time.Millisecond
		target := random.IntN(3)
		tr.t.Logf("%s seed %d fault %d target %d for %s", time.Since(tr.begin).Round(time.Millisecond), tr.seed, kind, target, lasts)
		ending.Go(func() { tr.fault(ctx, kind, target, lasts) })
		pause(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond)
	}
	ending.Wait()
}

func (tr *trial) fault(ctx context.Context, kind, target int, lasts time.Duration) {
	servers := tr.launcher.Groups[trialService].Servers()
	server := servers[target]
	if kind < 4 {
		server = tr.primary()
	}
	switch kind {
	case 0, 8:
		_ = server.Kill(true)
		pause(ctx, lasts)
		_ = server.Restart()
	case 1:
		server.SetFaults(backendserver.Faults{Paused: true})
		pause(ctx, lasts)
		server.SetFaults(backendserver.Faults{})
	case 2: // Its own data centre still reaches it, and nobody else.
		server.SetFaults(backendserver.Faults{CutDataCentres: tr.otherCentres(server.DataCentre)})
		pause(ctx, lasts)
		server.SetFaults(backendserver.Faults{})
	case 3:
		server.SetFaults(backendserver.Faults{LoseCommits: 3})
	case 4:
		server.SilenceOpenConnections()
	case 5:
		tr.platform("refuse", false, 0, lasts)
	case 6:
		tr.platform("", true, 0, lasts)
	case 7:
		in := tr.victim(target)
		if in == nil {
			return
		}
		tr.launcher.Kill(in)
		pause(ctx, lasts/2)
		_, err := tr.launcher.Add(ctx, in.DataCentre)
		qt.Check(tr.t, err, qt.IsNil)
	}
}

// victim returns an instance of a data centre in which none has died. When two
// of the three instances of a data centre die within seconds, its roster has no
// majority, and a replacement cannot join before an operator retires the
// roster (docs/OPERATIONS.md). Seed 5 showed that with deaths 2.2 s apart.
func (tr *trial) victim(target int) *launcher.Instance {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for i := range tr.launcher.DataCentres {
		dc := tr.launcher.DataCentres[(target+i)%len(tr.launcher.DataCentres)]
		for _, in := range tr.launcher.All() {
			if in.DataCentre == dc && !tr.died[dc] {
				tr.died[dc] = true
				return in
			}
		}
	}
	return nil
}

// platform sets faults of the platform for a while.
func (tr *trial) platform(down string, loseAnswer bool, slowMS int, lasts time.Duration) {
	faults := tr.launcher.Platform
	f := platformFaults(down, loseAnswer, slowMS)
	qt.Check(tr.t, faults.SetFaults(f), qt.IsNil)
	pause(context.Background(), lasts)
	qt.Check(tr.t, faults.SetFaults(platformFaults("", false, 0)), qt.IsNil)
}

func (tr *trial) otherCentres(own string) []string {
	var others []string
	for _, dc := range tr.launcher.DataCentres {
		if string(dc) != own {
			others = append(others, string(dc))
		}
	}
	return others
}

// primary returns the member that is primary of the newest term.
func (tr *trial) primary() *backendserver.Server {
	var newest *backendserver.Server
	for _, s := range tr.launcher.Groups[trialService].Servers() {
		st := s.Status()
		if st.Role == backendserver.RolePrimary && (newest == nil || st.Term > newest.Status().Term) {
			newest = s
		}
	}
	if newest == nil {
		return tr.launcher.Groups[trialService].Servers()[0]
	}
	return newest
}

func (tr *trial) heal() {
	qt.Check(tr.t, tr.launcher.Platform.SetFaults(platformFaults("", false, 0)), qt.IsNil)
	for _, s := range tr.launcher.Groups[trialService].Servers() {
		s.SetFaults(backendserver.Faults{})
		_ = s.Restart() // Fails for a server that runs.
	}
}
