package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"oleanderpulley/platform/imitator"
)

// lapseFault is injected only by name: the service then replicates synchronously to one
// replica, and no acknowledged commit may be discarded.
const lapseFault = "servers lost while instances start"

const (
	registrationTTL = 2500 * time.Millisecond // From the crash of a server until its registration is removed.
	lapseLength     = 3500 * time.Millisecond // From then on until the first server is back.
)

// syncReplicas is the number of replicas that receive a commit before it is acknowledged.
func (s Soak) syncReplicas() int {
	if s.Fault == lapseFault {
		return 1
	}
	return 0
}

// loseServers crashes the primary and a replica while the other replica lacks their last
// commits. Some instances, or all, start again once both registrations have lapsed.
// Then the servers come back with their logs, in either order.
func (e *environment) loseServers(r *rand.Rand) {
	primary := e.group.Primary()
	if primary == "" {
		return
	}
	behind := e.randomServer(r)
	for behind == primary {
		behind = e.randomServer(r)
	}
	e.members[behind].PauseReplication(true)
	defer e.members[behind].PauseReplication(false)
	time.Sleep(maxStaleness)
	var lost []string
	for id := range e.members {
		if id != behind {
			lost = append(lost, id)
			e.members[id].SetUnresponsive(true)
		}
	}
	r.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	time.Sleep(registrationTTL)
	e.setAway(lost, true)
	var starts sync.WaitGroup
	for _, i := range r.Perm(len(e.instances))[:1+r.IntN(len(e.instances))] {
		starts.Go(func() { e.restart(e.instances[i], syscall.SIGKILL) })
	}
	starts.Wait()
	time.Sleep(lapseLength)
	for _, id := range lost {
		e.members[id].SetUnresponsive(false)
		e.setAway([]string{id}, false)
		time.Sleep(minDuration)
	}
}

// setAway removes the registrations of servers, or has them written again.
func (e *environment) setAway(ids []string, away bool) {
	e.mu.Lock()
	for _, id := range ids {
		e.away[id] = away
		if away {
			e.store.Remove("servers", id)
		}
	}
	e.mu.Unlock()
	e.registerServers()
}

// checkDiscarded checks that no promotion has discarded an acknowledged write.
func (h *history) checkDiscarded(commits []imitator.Commit) []string {
	writes := map[string]operation{}
	for _, o := range h.operations {
		for _, id := range o.writeIDs {
			writes[id] = o
		}
	}
	var broken []string
	for _, c := range commits {
		for _, id := range c.IDs {
			if o, ok := writes[id]; ok && c.Discarded && o.outcome == acknowledged {
				broken = append(broken, fmt.Sprintf("discarded: write %s was acknowledged as commit %d of term %d, which a promotion discarded", id, c.Number, c.Term))
			}
		}
	}
	return broken
}
