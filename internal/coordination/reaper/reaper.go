package reaper

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	monitoredCount = 2 // Instances that each instance monitors.
	checkInterval  = time.Second
	// unreachableTimeout is the time without a connection after which the peers
	// of an instance are queried about its removal. It is longer than a restart
	// and than most partitions.
	unreachableTimeout = 8 * time.Second
)

// Reaper monitors other instances and removes the registrations of those that
// have failed permanently. All fields but Now are required. Its methods must not
// be called concurrently.
type Reaper struct {
	Self    identifier.InstanceID
	Members func() map[identifier.InstanceID]cataloger.Instance
	// Connected reports whether a link to the instance is open, and starts to
	// open one if not.
	Connected func(identifier.InstanceID) bool
	// Ask queries peers about whether they can reach the instance.
	Ask    func(ctx context.Context, id identifier.InstanceID) Answers
	Remove func(ctx context.Context, m cataloger.Instance) error
	Logger zerolog.Logger
	Now    func() time.Time // Nil selects time.Now.

	unreachableSince map[identifier.InstanceID]time.Time
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

// CheckSuccessors checks the monitored instances once.
func (r *Reaper) CheckSuccessors(ctx context.Context) {
	members := r.Members()
	successors := Successors(r.Self, slices.Collect(maps.Keys(members)), monitoredCount)
	unreachableSince := map[identifier.InstanceID]time.Time{}
	for _, id := range successors {
		if r.Connected(id) {
			continue
		}
		since, known := r.unreachableSince[id]
		if !known {
			since = r.now()
		}
		unreachableSince[id] = since
		if r.now().Sub(since) >= unreachableTimeout {
			r.removeIfGone(ctx, members[id])
		}
	}
	r.unreachableSince = unreachableSince
}

// removeIfGone removes the registration of an unreachable instance if its peers
// confirm that it is gone.
func (r *Reaper) removeIfGone(ctx context.Context, m cataloger.Instance) {
	answers := r.Ask(ctx, m.ID)
	if !answers.confirmGone() {
		return
	}
	err := r.Remove(ctx, m)
	r.Logger.Info().Str("event", "instance_removed").Str("peer", string(m.ID)).
		Int("peers_asked", answers.Asked).Int("peers_answered", answers.Answered).Err(err).Send()
}

func (r *Reaper) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// Successors returns up to count ids that follow self in ascending order, which
// wraps around after the last. Self itself is left out.
func Successors(self identifier.InstanceID, ids []identifier.InstanceID, count int) []identifier.InstanceID {
	others := slices.DeleteFunc(slices.Clone(ids), func(id identifier.InstanceID) bool { return id == self })
	slices.Sort(others)
	start, _ := slices.BinarySearch(others, self)
	successors := make([]identifier.InstanceID, 0, count)
	for i := range min(count, len(others)) {
		successors = append(successors, others[(start+i)%len(others)])
	}
	return successors
}
