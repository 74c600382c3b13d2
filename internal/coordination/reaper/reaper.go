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
	watched = 2 // Instances that each instance watches.
	period  = time.Second
	// patience is the time without a connection after which an instance
	// counts as gone. It is longer than a restart and than most partitions.
	patience = 8 * time.Second
)

// Reaper watches instances. All fields but Now are required.
type Reaper struct {
	Self    identifier.InstanceID
	Members func() map[identifier.InstanceID]cataloger.Member
	// Connected reports whether a link to the instance stands, and starts one.
	Connected func(identifier.InstanceID) bool
	// Ask asks peers whether they reach the instance.
	Ask    func(ctx context.Context, id identifier.InstanceID) Answers
	Remove func(ctx context.Context, m cataloger.Member) error
	Logger zerolog.Logger
	Now    func() time.Time // Nil selects time.Now.

	lost map[identifier.InstanceID]time.Time
}

// Answers is what peers said of an instance.
type Answers struct {
	Asked, Answered, Reached int
}

// areGone reports whether the answers show that the instance is gone and not
// that this one is cut off.
func (a Answers) areGone() bool {
	return a.Reached == 0 && 2*a.Answered > a.Asked
}

// Run watches until the context ends.
func (r *Reaper) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Look(ctx)
		}
	}
}

// Look looks at the watched instances once.
func (r *Reaper) Look(ctx context.Context) {
	members := r.Members()
	followers := Followers(r.Self, slices.Collect(maps.Keys(members)), watched)
	lost := map[identifier.InstanceID]time.Time{}
	for _, id := range followers {
		if r.Connected(id) {
			continue
		}
		since, known := r.lost[id]
		if !known {
			since = r.now()
		}
		lost[id] = since
		if r.now().Sub(since) >= patience {
			r.judge(ctx, members[id])
		}
	}
	r.lost = lost
}

func (r *Reaper) judge(ctx context.Context, m cataloger.Member) {
	answers := r.Ask(ctx, m.ID)
	if !answers.areGone() {
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

// Followers returns the count ids that follow self in their order, which begins
// again after the last.
func Followers(self identifier.InstanceID, ids []identifier.InstanceID, count int) []identifier.InstanceID {
	others := slices.DeleteFunc(slices.Clone(ids), func(id identifier.InstanceID) bool { return id == self })
	slices.Sort(others)
	start, _ := slices.BinarySearch(others, self)
	followers := make([]identifier.InstanceID, 0, count)
	for i := range min(count, len(others)) {
		followers = append(followers, others[(start+i)%len(others)])
	}
	return followers
}
