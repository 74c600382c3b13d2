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

// injectFaults runs the fault schedule of the seed and waits until all faults have
// ended. A fault lasts 0.5 to 3.5 s and the next one starts after 0.3 to 1.8 s, so
// that faults often overlap.
func (tr *trial) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(tr.seed, 1<<32))
	var running sync.WaitGroup
	for range faultCount {
		kind := random.IntN(9)
		duration := time.Duration(500+random.IntN(3000)) * time.Millisecond
		target := random.IntN(3)
		tr.t.Logf("%s seed %d fault %d target %d for %s", time.Since(tr.started).Round(time.Millisecond), tr.seed, kind, target, duration)
		running.Go(func() { tr.injectFault(ctx, kind, target, duration) })
		sleep(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond)
	}
	running.Wait()
}

// injectFault applies one fault for the given duration. Kinds 0 to 3 affect the
// primary, kinds 4 and 8 the member with the index target.
func (tr *trial) injectFault(ctx context.Context, kind, target int, duration time.Duration) {
	servers := tr.launcher.Groups[serviceName].Servers()
	server := servers[target]
	if kind < 4 {
		server = tr.newestPrimary()
	}
	switch kind {
	case 0, 8: // The server is killed and restarted.
		_ = server.Kill(true)
		sleep(ctx, duration)
		_ = server.Restart()
	case 1: // The server is paused.
		server.SetFaults(backendserver.Faults{Paused: true})
		sleep(ctx, duration)
		server.SetFaults(backendserver.Faults{})
	case 2: // Only its own data centre reaches the server.
		server.SetFaults(backendserver.Faults{CutDataCentres: tr.otherDataCentres(server.DataCentre)})
		sleep(ctx, duration)
		server.SetFaults(backendserver.Faults{})
	case 3: // The answers to the next three commits are lost after they took effect.
		server.SetFaults(backendserver.Faults{LoseCommits: 3})
	case 4: // The open connections to the server stay silent; new ones work.
		server.HangOpenConnections()
	case 5: // The platform refuses connections.
		tr.injectPlatformFault("refuse", false, 0, duration)
	case 6: // Writes to the platform take effect, but their answers are lost.
		tr.injectPlatformFault("", true, 0, duration)
	case 7: // An instance is killed and replaced.
		in := tr.instanceToKill(target)
		if in == nil {
			return
		}
		tr.launcher.Kill(in)
		sleep(ctx, duration/2)
		_, err := tr.launcher.AddInstance(ctx, in.DataCentre)
		qt.Check(tr.t, err, qt.IsNil)
	}
}

// instanceToKill returns an instance of a data centre in which no instance was
// killed yet, or nil if there is none. When two of the three instances of a data
// centre die within seconds, its roster has no majority, and a replacement cannot
// join before an operator retires the roster (docs/OPERATIONS.md). Seed 5 caused
// this with deaths 2.2 s apart.
func (tr *trial) instanceToKill(target int) *launcher.Instance {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for i := range tr.launcher.DataCentres {
		dc := tr.launcher.DataCentres[(target+i)%len(tr.launcher.DataCentres)]
		for _, in := range tr.launcher.All() {
			if in.DataCentre == dc && !tr.killedIn[dc] {
				tr.killedIn[dc] = true
				return in
			}
		}
	}
	return nil
}

// injectPlatformFault applies faults to the platform for the given duration.
func (tr *trial) injectPlatformFault(down string, loseAnswer bool, slowMS int, duration time.Duration) {
	faults := tr.launcher.Platform
	f := platformFaults(down, loseAnswer, slowMS)
	qt.Check(tr.t, faults.SetFaults(f), qt.IsNil)
	sleep(context.Background(), duration)
	qt.Check(tr.t, faults.SetFaults(platformFaults("", false, 0)), qt.IsNil)
}

// otherDataCentres returns all data centres but one.
func (tr *trial) otherDataCentres(except string) []string {
	var others []string
	for _, dc := range tr.launcher.DataCentres {
		if string(dc) != except {
			others = append(others, string(dc))
		}
	}
	return others
}

// newestPrimary returns the member that is primary in the newest term, or the first
// member if none is primary.
func (tr *trial) newestPrimary() *backendserver.Server {
	var newest *backendserver.Server
	for _, s := range tr.launcher.Groups[serviceName].Servers() {
		st := s.Status()
		if st.Role == backendserver.RolePrimary && (newest == nil || st.Term > newest.Status().Term) {
			newest = s
		}
	}
	if newest == nil {
		return tr.launcher.Groups[serviceName].Servers()[0]
	}
	return newest
}

// clearFaults ends all faults and starts the backend servers that do not run.
func (tr *trial) clearFaults() {
	qt.Check(tr.t, tr.launcher.Platform.SetFaults(platformFaults("", false, 0)), qt.IsNil)
	for _, s := range tr.launcher.Groups[serviceName].Servers() {
		s.SetFaults(backendserver.Faults{})
		_ = s.Restart() // Returns an error for a running server.
	}
}
