package sharer

import (
	"math"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// Held returns the instance's share of a workspace.
func (s *Sharer) Held(w identifier.WorkspaceName) limiter.Share {
	return s.holding(w).bucket.Held(s.limit(w))
}

// Fill fills the bucket to its capacity, as an issue with full buckets would.
func (s *Sharer) Fill(w identifier.WorkspaceName) {
	s.holding(w).bucket.Return(math.Inf(1))
}

// Restore adds a share that was granted back to its grantor, as if it had not
// been subtracted.
func (s *Sharer) Restore(w identifier.WorkspaceName, share limiter.Share) {
	s.holding(w).bucket.Merge(s.limit(w), share)
}

// Epoch returns the epoch of the workspace's shard.
func (s *Sharer) Epoch(w identifier.WorkspaceName) uint64 {
	sh := &s.shards[ShardOf(w)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.epoch
}
