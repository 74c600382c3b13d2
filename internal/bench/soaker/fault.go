package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/bench/stager"
)

// Bounds of the gaps between faults and of their durations.
const (
	minGap        = 200 * time.Millisecond
	maxGap        = 1500 * time.Millisecond
	minDuration   = 500 * time.Millisecond
	maxDuration   = 4 * time.Second
	withdrawalCut = withdrawalDelay + 4*time.Second // Partition from the store around the withdrawal of a key.
	restartDelay  = 500 * time.Millisecond          // Time from a kill to the restart.
	gracePeriod   = 3 * time.Second
	minPartition  = 2500 * time.Millisecond // Long enough for a replacement of the primary to begin.
	// maxReplacement is the time after which a partitioned primary is replaced or will
	// not be.
	maxReplacement        = 4 * time.Second
	promotionPollInterval = 5 * time.Millisecond
)

// fault is one kind of fault. The function inject returns when the fault is over.
// Faults that take effect at once ignore the duration.
type fault struct {
	name   string
	inject func(e *environment, random *rand.Rand, duration time.Duration)
}

var commonFaults = []fault{
	{"kill", func(e *environment, r *rand.Rand, _ time.Duration) { e.restart(e.randomInstance(r), syscall.SIGKILL) }},
	{stopFault, func(e *environment, r *rand.Rand, _ time.Duration) { e.restart(e.randomInstance(r), syscall.SIGTERM) }},
	{"pause", func(e *environment, r *rand.Rand, duration time.Duration) {
		p := e.randomInstance(r)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.Signal(syscall.SIGCONT)
	}},
	{"hangup", func(e *environment, r *rand.Rand, _ time.Duration) { e.randomInstance(r).Signal(syscall.SIGHUP) }},
	{"store unavailable", func(e *environment, _ *rand.Rand, duration time.Duration) {
		e.store.SetFault(func(string, string) int { return http.StatusServiceUnavailable })
		time.Sleep(duration)
		e.store.SetFault(nil)
	}},
	{"store answers lost", func(e *environment, _ *rand.Rand, duration time.Duration) {
		calls := 0
		e.store.SetFault(func(string, string) int {
			calls++
			if calls%3 == 0 {
				return -1
			}
			return 0
		})
		time.Sleep(duration)
		e.store.SetFault(nil)
	}},
	{"store unresponsive", func(e *environment, _ *rand.Rand, duration time.Duration) {
		e.blackholeStore(e.instances, duration)
	}},
	{"instance partitioned from the store", func(e *environment, r *rand.Rand, duration time.Duration) {
		e.proxies[e.randomInstance(r).Name].BlackholeFor(duration)
	}},
	{"key withdrawn during a partition from the store", func(e *environment, r *rand.Rand, _ time.Duration) {
		var cut []*stager.Process
		for i := r.IntN(dataCentres); i < len(e.instances); i += dataCentres {
			cut = append(cut, e.instances[i])
		}
		time.AfterFunc(minDuration, e.withdrawNextKey)
		e.blackholeStore(cut, withdrawalCut)
	}},
	{"registration removed during a partition from the store", func(e *environment, r *rand.Rand, _ time.Duration) {
		p := e.randomInstance(r)
		e.store.Remove("instances", p.Name)
		e.proxies[p.Name].BlackholeFor(withdrawalCut)
	}},
	{"server refuses", func(e *environment, r *rand.Rand, duration time.Duration) {
		m := e.members[e.randomServer(r)]
		m.FailWith("BUSY")
		time.Sleep(duration)
		m.FailWith("")
	}},
	{"server unresponsive", func(e *environment, r *rand.Rand, duration time.Duration) {
		e.proxies[e.randomServer(r)].BlackholeFor(duration)
	}},
	{"data on connections lost", func(e *environment, r *rand.Rand, _ time.Duration) { e.proxies[e.randomServer(r)].BlackholeOpen() }},
	{"connections reset", func(e *environment, r *rand.Rand, _ time.Duration) { e.proxies[e.randomServer(r)].Reset() }},
	{"slow link", func(e *environment, r *rand.Rand, duration time.Duration) {
		p := e.proxies[e.randomServer(r)]
		p.SetDelay(60 * time.Millisecond)
		time.Sleep(duration)
		p.SetDelay(0)
	}},
	{"replica lagging", func(e *environment, r *rand.Rand, duration time.Duration) {
		id := e.randomServer(r)
		if id == e.group.Primary() {
			return
		}
		e.members[id].PauseReplication(true)
		time.Sleep(duration)
		e.members[id].PauseReplication(false)
	}},
	{"answers lost", func(e *environment, r *rand.Rand, _ time.Duration) { e.members[e.randomServer(r)].DropAnswers(3) }},
	{repeatFault, func(e *environment, r *rand.Rand, duration time.Duration) { e.repeatAnswers(r, duration, false) }},
	{"key withdrawn", func(e *environment, _ *rand.Rand, _ time.Duration) { e.withdrawNextKey() }},
	{"configuration", func(e *environment, _ *rand.Rand, _ time.Duration) { e.writeConfiguration() }},
	{"store back from a copy", func(e *environment, _ *rand.Rand, duration time.Duration) { e.restoreStore(duration) }},
	{"promotions executed late", func(e *environment, _ *rand.Rand, duration time.Duration) { e.store.DelayPromotions(1, duration/2) }},
	{"primary unresponsive", func(e *environment, _ *rand.Rand, duration time.Duration) {
		e.partitionPrimary(duration)
	}},
	{"primary ahead of its replicas unresponsive", func(e *environment, _ *rand.Rand, _ time.Duration) { e.partitionAheadPrimary() }},
	{"primary unresponsive during a pause", func(e *environment, r *rand.Rand, duration time.Duration) {
		p := e.randomInstance(r)
		p.Signal(syscall.SIGSTOP)
		e.partitionPrimary(duration)
		p.Signal(syscall.SIGCONT)
	}},
}

// promotionFaults replace the primary without the instances, as only a platform
// that ends the old primary may do.
var promotionFaults = []fault{
	{"promotion", func(e *environment, r *rand.Rand, _ time.Duration) {
		e.group.Promote(e.randomServer(r))
		e.registerServers()
	}},
	{"primary replaced and lagging", func(e *environment, r *rand.Rand, duration time.Duration) {
		resume := e.replacePrimary(r)
		time.Sleep(minDuration) // Delays the update of the registrations.
		e.registerServers()
		time.Sleep(duration)
		resume()
	}},
	{"primary replaced during a pause", func(e *environment, r *rand.Rand, duration time.Duration) {
		p := e.randomInstance(r)
		p.Signal(syscall.SIGSTOP)
		resume := e.replacePrimary(r)
		time.Sleep(minDuration)
		p.Signal(syscall.SIGCONT)
		e.registerServers()
		time.Sleep(duration)
		resume()
	}},
}

// namedFaults are injected only by name, so that the seeds of other runs draw what they
// have drawn before.
var namedFaults = []fault{
	{"replica back empty", func(e *environment, r *rand.Rand, _ time.Duration) {
		if id := e.randomServer(r); id != e.group.Primary() {
			e.restartEmpty(id)
		}
	}},
	{"primary back empty", func(e *environment, _ *rand.Rand, _ time.Duration) {
		if id := e.group.Primary(); id != "" {
			e.restartEmpty(id)
		}
	}},
	{lapseFault, func(e *environment, r *rand.Rand, _ time.Duration) { e.loseServers(r) }},
	{"server answers twice and goes on", func(e *environment, r *rand.Rand, duration time.Duration) { e.repeatAnswers(r, duration, true) }},
}

// repeatAnswers makes one or all servers repeat answers for the duration.
func (e *environment) repeatAnswers(r *rand.Rand, duration time.Duration, goesOn bool) {
	only, all := e.randomServer(r), r.IntN(2) == 0
	repeats := e.drawRepeats(rand.New(rand.NewPCG(r.Uint64(), 0)), goesOn)
	for id, m := range e.members {
		if all || id == only {
			m.SetRepeat(repeats)
			defer m.SetRepeat(nil)
		}
	}
	time.Sleep(duration)
}

// stopFault, injected alone, must leave no statement without an answer: clients go on opening
// sessions at an instance that stops, as a load balancer with too few others lets them.
const stopFault = "stop"

// repeatFault is not drawn beside an older build: builds up to f789805 take a repeated answer
// for that of another statement.
const repeatFault = "server answers twice"

// faults returns the faults that a run draws from. It returns errUnknownFault if none
// has the name of s.Fault.
func (s Soak) faults() ([]fault, error) {
	all := commonFaults
	if !s.Unfenced {
		all = slices.Concat(commonFaults, promotionFaults)
	}
	if s.Fault == "" && s.OldProgram != "" {
		return slices.DeleteFunc(slices.Clone(all), func(f fault) bool { return f.name == repeatFault }), nil
	}
	if s.Fault == "" {
		return all, nil
	}
	all = slices.Concat(all, namedFaults, slownessFaults)
	i := slices.IndexFunc(all, func(f fault) bool { return f.name == s.Fault })
	if i < 0 {
		return nil, errors.Wrapf(errUnknownFault, "%q", s.Fault)
	}
	return all[i : i+1], nil
}

var errUnknownFault = errors.New("fault is not known")

// injectFaults injects random faults for the given time, and longer until upgraded is
// closed. It returns the start time and name of each. Faults overlap if there are
// several to draw from.
func (e *environment) injectFaults(ctx context.Context, faults []fault, random *rand.Rand, length time.Duration, upgraded <-chan struct{}) []string {
	var names []string
	var running sync.WaitGroup
	start := time.Now()
	for (time.Since(start) < length || !isClosed(upgraded)) && ctx.Err() == nil {
		sleep(ctx, minGap+time.Duration(random.Int64N(int64(maxGap-minGap))))
		f := faults[random.IntN(len(faults))]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
		names = append(names, fmt.Sprintf("%.1f %s", time.Since(start).Seconds(), f.name))
		running.Go(func() { f.inject(e, faultRandom, duration) })
		if len(faults) == 1 {
			running.Wait()
			sleep(ctx, recoveryTime)
		}
	}
	running.Wait()
	return names
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// replacePrimary promotes another server and pauses replication to the previous
// primary. It returns a function that ends the pause. If there is no primary, which has stepped
// down for its successor, it promotes a server alone.
func (e *environment) replacePrimary(r *rand.Rand) (resume func()) {
	primary := e.group.Primary()
	successor := e.randomServer(r)
	for successor == primary {
		successor = e.randomServer(r)
	}
	resume = func() {}
	if previous, ok := e.members[primary]; ok {
		previous.PauseReplication(true)
		resume = func() { previous.PauseReplication(false) }
	}
	e.group.Promote(successor)
	return resume
}

// partitionPrimary cuts the primary off from the instances and from its replicas
// for at least minPartition. Its connections are silent afterwards.
func (e *environment) partitionPrimary(duration time.Duration) {
	id := e.group.Primary()
	if id == "" {
		return
	}
	e.members[id].PauseReplication(true)
	e.proxies[id].BlackholeFor(max(duration, minPartition))
	time.Sleep(minDuration)
	e.members[id].PauseReplication(false)
}

// partitionAheadPrimary cuts the primary off from the instances while the replicas lack
// commits that are older than the staleness bound. The replicas receive them after the
// promotion of a successor was requested and before it takes effect.
func (e *environment) partitionAheadPrimary() {
	id := e.group.Primary()
	if id == "" {
		return
	}
	e.pauseReplicas(id, true)
	defer e.pauseReplicas(id, false)
	time.Sleep(maxStaleness)
	before := len(e.store.Promotions())
	go e.proxies[id].BlackholeFor(minPartition)
	for started := time.Now(); len(e.store.Promotions()) == before && time.Since(started) < maxReplacement; {
		time.Sleep(promotionPollInterval)
	}
	time.Sleep(e.promotionDelay / 2)
}

func (e *environment) pauseReplicas(primary string, paused bool) {
	for id, m := range e.members {
		if id != primary {
			m.PauseReplication(paused)
		}
	}
}

// restartEmpty makes a backend server start again under its id with an empty log.
func (e *environment) restartEmpty(id string) {
	e.members[id].RestartEmpty()
	e.mu.Lock()
	e.restarts[id]++
	e.mu.Unlock()
	e.registerServers()
}

// restoreStore makes the store come back from a copy that is as old as the
// duration. The operator and the backend servers then write again.
func (e *environment) restoreStore(duration time.Duration) {
	c := e.store.Copy()
	time.Sleep(duration)
	e.store.SetAway(true)
	time.Sleep(minDuration)
	e.store.Restore(c)
	e.store.SetAway(false)
	time.Sleep(minDuration)
	e.registerServers()
	e.rewriteConfiguration()
}

func (e *environment) randomInstance(r *rand.Rand) *stager.Process {
	return e.instances[r.IntN(len(e.instances))]
}

func (e *environment) randomServer(r *rand.Rand) string {
	return string(rune('a' + r.IntN(len(e.members))))
}

func (e *environment) restart(p *stager.Process, s syscall.Signal) {
	if err := p.Restart(s); err != nil {
		fmt.Println("fault:", err)
	}
}

// blackholeStore discards all data between the instances and the store for the duration.
func (e *environment) blackholeStore(instances []*stager.Process, duration time.Duration) {
	for _, p := range instances {
		e.proxies[p.Name].SetBlackhole(true)
	}
	time.Sleep(duration)
	for _, p := range instances {
		e.proxies[p.Name].SetBlackhole(false)
	}
}
