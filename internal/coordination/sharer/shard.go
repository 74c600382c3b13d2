package sharer

import (
	"context"
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// minLedgerReadInterval is the shortest time between two reads of a shard's
// ledger.
const minLedgerReadInterval = time.Second

// shard is this instance's view of one ledger shard. In the zero value the
// epoch is not known.
type shard struct {
	mu    sync.Mutex
	epoch uint64
	// epochKnown is set by a read of the ledger that began after this instance
	// joined its roster. Shares are transferred only while it is set.
	epochKnown bool
	// sharesOnEntry is what was held when the epoch was entered. A repeated
	// [EpochEnter] gets the same answer, because a share granted since then
	// appears in its receiver's report only if the receiver entered later.
	sharesOnEntry map[identifier.WorkspaceName]limiter.Share
	// resetEpoch is the epoch at the last Reset. The grants made in it were
	// forgotten, so a report about it would be wrong.
	resetEpoch uint64
	lastRead   time.Time // Start of the last read.

	recovering    bool // The fields from here on are used by the leader and guarded by mu.
	ledger        Ledger
	ledgerVersion uint64
	ledgerCached  bool      // The two fields above match what this leader last read or wrote.
	lastIssue     time.Time // Last issue, or first read of the ledger by this leader.
	retryAt       time.Time
}

// enter moves the shard to an epoch and returns what was held at that moment.
// It reports false for an epoch that has passed, and for one whose state was
// discarded by Reset; the epoch in the report then differs from the given one.
func (s *Sharer) enter(index int, epoch uint64) (ShareReport, bool) {
	sh := &s.shards[index]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if epoch > sh.epoch {
		s.enterLocked(index, epoch)
	}
	if epoch <= sh.resetEpoch {
		return ShareReport{Shard: index}, false
	}
	return ShareReport{Shard: index, Epoch: sh.epoch, Holdings: sh.sharesOnEntry}, epoch == sh.epoch
}

func (s *Sharer) enterLocked(index int, epoch uint64) {
	sh := &s.shards[index]
	sh.epoch = epoch
	sh.lastRead = time.Time{} // A read from before the epoch must not delay the next one.
	sh.sharesOnEntry = map[identifier.WorkspaceName]limiter.Share{}
	for w, h := range s.allHoldings() {
		if h.shardIndex != index {
			continue
		}
		if held := h.bucket.Held(s.limit(w)); held.Fraction > 0 {
			sh.sharesOnEntry[w] = held
		}
	}
	s.transfers.clear(func(i int) bool { return i == index })
}

// syncEpochs reads the ledgers of the shards that this instance uses and whose
// epoch it does not know, because it joined after the epoch was opened or an
// earlier read failed.
func (s *Sharer) syncEpochs() {
	for _, h := range s.allHoldings() {
		s.syncEpoch(h.shardIndex)
	}
}

// syncEpoch reads the shard's ledger in the background and enters its epoch,
// unless that was done since this instance joined.
func (s *Sharer) syncEpoch(index int) {
	sh := &s.shards[index]
	s.mu.Lock()
	joined := s.joined
	s.mu.Unlock()
	now := s.now()
	sh.mu.Lock()
	skip := !joined || sh.epochKnown || (!sh.lastRead.IsZero() && now.Sub(sh.lastRead) < minLedgerReadInterval)
	if !skip {
		sh.lastRead = now
	}
	sh.mu.Unlock()
	if skip {
		return
	}
	generation := s.generation.Load()
	s.spawn(func(ctx context.Context) {
		ledger, version, err := s.ReadLedger(ctx, index)
		if err != nil || version == 0 {
			return
		}
		sh.mu.Lock()
		if s.generation.Load() == generation {
			if ledger.Epoch > sh.epoch {
				s.enterLocked(index, ledger.Epoch)
			}
			sh.epochKnown = true
		}
		sh.mu.Unlock()
		for _, h := range s.allHoldings() {
			if h.shardIndex == index {
				h.retryFetch()
			}
		}
	})
}
