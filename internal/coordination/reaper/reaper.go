package reaper

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// monitoredCount is the number of successors that an instance monitors in
	// each of the two orders.
	monitoredCount = 2
	// maxHashSuccessors limits the successors in the order of the hash that are
	// monitored while nearer ones are unreachable. If a third of the instances
	// fail, 16 consecutive ones in that order have failed with a chance of 1 in 40 million.
	maxHashSuccessors = 16
	checkInterval     = time.Second
	// unreachableTimeout is the time without a connection after which the peers
	// of an instance are queried about its removal. It is longer than a restart
	// and than most partitions.
	unreachableTimeout = 8 * time.Second
	// maxQueriesPerCheck limits the instances about which peers are queried in
	// one check, and so the removals a second.
	maxQueriesPerCheck = 4
	// removalRetryInterval is the time until the removal of the same registration
	// is tried again. The list of instances shows a removal with a delay.
	removalRetryInterval = 5 * time.Second
	// fleetRemovalRate is the number of instances a second that the fleet begins to
	// remove at most, as long as maxRemovalDelay suffices for this. The removals of
	// one moment are spread, because each is a write to the store.
	fleetRemovalRate = 200
	maxRemovalDelay  = 6 * time.Second
)

// Reaper monitors other instances and removes the registrations of those that
// have failed permanently. All fields but Random and Now are required. Its
// methods must not be called concurrently.
type Reaper struct {
	Self    identifier.InstanceID
	Members func() map[identifier.InstanceID]cataloger.Instance
	// Connected reports whether a link to the instance is open, and starts to
	// open one if not.
	Connected func(identifier.InstanceID) bool
	// Ask queries the peers about whether they can reach the instance. It is
	// called concurrently.
	Ask func(ctx context.Context, id identifier.InstanceID, peers []identifier.InstanceID) Answers
	// Remove removes a registration unless it has changed. It is called
	// concurrently.
	Remove func(ctx context.Context, m cataloger.Instance) error
	Logger zerolog.Logger
	Random func() uint64    // For the choice of peers. Nil selects rand.Uint64.
	Now    func() time.Time // Nil selects time.Now.

	unreachable map[identifier.InstanceID]*suspicion
}

// suspicion is the state of a monitored instance that is unreachable.
type suspicion struct {
	revision cataloger.Revision // Of the registration.
	since    time.Time
	queried  time.Time
	removed  time.Time // When the removal was tried.
}

// Answers counts the peers that were queried about an instance, those that
// answered, and those that can reach it.
type Answers struct {
	Asked, Answered, Reached int
}

// confirmGone reports whether the answers show that the instance has failed: no
// peer reaches it, and so many answered that this instance is not partitioned
// from the others itself.
func (a Answers) confirmGone() bool {
	return a.Reached == 0 && 2*a.Answered > a.Asked
}

// Run checks the successors every checkInterval until the context ends.
func (r *Reaper) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.CheckSuccessors(ctx)
		}
	}
}

// CheckSuccessors checks the monitored instances once, and waits for the answers
// about those that may have failed.
func (r *Reaper) CheckSuccessors(ctx context.Context) {
	members := r.Members()
	r.updateUnreachable(members)
	var queries sync.WaitGroup
	for _, id := range r.instancesToQuery(len(members)) {
		s := r.unreachable[id]
		s.queried = r.now()
		peers := chooseWitnesses(members, r.Self, id, r.random())
		queries.Go(func() { r.removeIfGone(ctx, members[id], s, peers) })
	}
	queries.Wait()
}

// updateUnreachable determines which of the monitored instances are unreachable.
// Those that were reachable at the last check do not extend the monitoring yet,
// because a link that has just been requested takes a moment to open. The timeout
// begins again when an instance registers again, so that one that is cut off is
// not removed each time at once.
func (r *Reaper) updateUnreachable(members map[identifier.InstanceID]cataloger.Instance) {
	ids := slices.Collect(maps.Keys(members))
	unreachable := map[identifier.InstanceID]*suspicion{}
	isReachable := func(id identifier.InstanceID) bool {
		if r.Connected(id) {
			return true
		}
		s, known := r.unreachable[id]
		if !known || s.revision != members[id].Revision {
			s = &suspicion{revision: members[id].Revision, since: r.now()}
		}
		unreachable[id] = s
		return !known
	}
	for _, id := range Successors(r.Self, ids, monitoredCount) {
		isReachable(id)
	}
	reachable := 0
	for _, id := range HashSuccessors(r.Self, ids, maxHashSuccessors) {
		if isReachable(id) {
			reachable++
		}
		if reachable == monitoredCount {
			break
		}
	}
	r.unreachable = unreachable
}

// instancesToQuery returns the instances that have been unreachable for long enough
// to query peers about them, at most maxQueriesPerCheck, those that were queried
// longest ago first.
func (r *Reaper) instancesToQuery(members int) []identifier.InstanceID {
	now := r.now()
	var due []identifier.InstanceID
	for id, s := range r.unreachable {
		if now.Sub(s.since) >= unreachableTimeout+removalDelay(id, members) && now.Sub(s.removed) >= removalRetryInterval {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b identifier.InstanceID) int {
		if c := r.unreachable[a].queried.Compare(r.unreachable[b].queried); c != 0 {
			return c
		}
		return compareHashes(a, b)
	})
	return due[:min(len(due), maxQueriesPerCheck)]
}

// removeIfGone removes the registration of an unreachable instance if the peers
// confirm that it is gone.
func (r *Reaper) removeIfGone(ctx context.Context, m cataloger.Instance, s *suspicion, peers []identifier.InstanceID) {
	answers := r.Ask(ctx, m.ID, peers)
	if !answers.confirmGone() {
		return
	}
	s.removed = r.now()
	err := r.Remove(ctx, m)
	r.Logger.Info().Str("event", "instance_removed").Str("peer", string(m.ID)).
		Int("peers_asked", answers.Asked).Int("peers_answered", answers.Answered).Err(err).Send()
}

func (r *Reaper) random() uint64 {
	if r.Random != nil {
		return r.Random()
	}
	return rand.Uint64()
}

func (r *Reaper) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}
