package sharer

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	// ProofLifetime is the age up to which a proof of roster membership and
	// configuration makes an instance current (C in the design document).
	ProofLifetime = 3 * time.Second
	// driftAllowance covers clocks that drift by 1%.
	driftAllowance = 1.01
	// auditInterval is the time after which the leader of a shard opens an
	// epoch although no member was removed. It bounds how long a loss that is
	// not detected otherwise lasts, such as a share granted to a requester that
	// was then reset.
	auditInterval = 10 * time.Minute
	// recoveryRetryDelay is the pause after a failed or abandoned recovery.
	recoveryRetryDelay = time.Second
	// enterTimeout is the time after which a member that did not answer is
	// asked again.
	enterTimeout = time.Second
	// maxParallelEnters bounds the members asked at one time.
	maxParallelEnters = 32
)

// startRecoveries starts a recovery for each shard that this instance leads,
// unless one is running or the pause after a failed one is not over.
func (s *Sharer) startRecoveries(now time.Time) {
	if s.UpdateLedger == nil || !s.current() {
		return
	}
	s.mu.Lock()
	joined := s.joined
	s.mu.Unlock()
	if !joined {
		return
	}
	workspaces := s.workspacesByShard()
	for i := range s.shards {
		if len(workspaces[i]) == 0 || !s.isLeader(i) {
			s.shards[i].dropLedgerCache()
			continue
		}
		if !s.shards[i].beginRecovery(now) {
			continue
		}
		if !s.spawn(func(ctx context.Context) { s.recover(ctx, i, workspaces[i]) }) {
			return
		}
	}
}

// isLeader reports whether this instance ranks first for a shard.
func (s *Sharer) isLeader(index int) bool {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	leader, _ := highestRanked("ledger/"+strconv.Itoa(index), s.peers.all, func(Peer) bool { return true })
	return leader.ID == s.Self.ID
}

func (s *Sharer) workspacesByShard() (list [ShardCount][]identifier.WorkspaceName) {
	for _, w := range s.Workspaces() {
		i := ShardOf(w)
		list[i] = append(list[i], w)
	}
	return list
}

// dropLedgerCache discards the cached ledger of a shard that this instance does
// not lead.
func (sh *shard) dropLedgerCache() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledgerCached = false
}

// beginRecovery marks the shard as being recovered. It reports false if it
// already is, or if the pause after a failed recovery is not over.
func (sh *shard) beginRecovery(now time.Time) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.recovering || now.Before(sh.retryAt) {
		return false
	}
	sh.recovering = true
	return true
}

// recover opens a new epoch if the shard needs one, and issues the missing
// fractions.
func (s *Sharer) recover(ctx context.Context, index int, workspaces []identifier.WorkspaceName) {
	sh := &s.shards[index]
	ledger, version, ok := s.cachedLedger(ctx, index)
	if ok && s.needsEpoch(sh, ledger, version, workspaces) {
		ok = s.advanceEpoch(ctx, index, ledger, version, workspaces)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.recovering = false
	if !ok {
		sh.ledgerCached = false
		sh.retryAt = s.now().Add(recoveryRetryDelay)
	}
}

// cachedLedger returns the leader's cached copy of the ledger, and reads the
// ledger if there is none.
func (s *Sharer) cachedLedger(ctx context.Context, index int) (Ledger, uint64, bool) {
	sh := &s.shards[index]
	sh.mu.Lock()
	ledger, version, cached := sh.ledger, sh.ledgerVersion, sh.ledgerCached
	sh.mu.Unlock()
	if cached {
		return ledger, version, true
	}
	ledger, version, err := s.ReadLedger(ctx, index)
	if err != nil {
		return Ledger{}, 0, false
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.ledger, sh.ledgerVersion, sh.ledgerCached, sh.lastIssue = ledger, version, true, s.now()
	return ledger, version, true
}

// needsEpoch reports whether the shard needs a new epoch.
func (s *Sharer) needsEpoch(sh *shard, ledger Ledger, version uint64, workspaces []identifier.WorkspaceName) bool {
	if version == 0 || !ledger.Issued || s.Removals() > ledger.Removals {
		return true
	}
	issued := make(map[identifier.WorkspaceName]bool, len(ledger.Issues))
	for _, w := range ledger.Issues {
		issued[w] = true
	}
	for _, w := range workspaces {
		if !issued[w] {
			return true
		}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return s.now().Sub(sh.lastIssue) > auditInterval
}

// advanceEpoch opens the next epoch, collects what every member holds, and
// issues the rest to this instance. It reports false when it gave up; missing
// fractions then stay missing until the next epoch.
func (s *Sharer) advanceEpoch(ctx context.Context, index int, last Ledger, version uint64,
	workspaces []identifier.WorkspaceName,
) bool {
	next := Ledger{Epoch: last.Epoch + 1, Leader: s.Self.ID, Removals: last.Removals, Issues: last.Issues}
	openedVersion, err := s.UpdateLedger(ctx, index, next, version)
	if err != nil {
		return false
	}
	// The rosters are read after the epoch was opened, so an instance that
	// joins later finds the epoch in the ledger.
	members, err := s.Members(ctx)
	if err != nil {
		return false
	}
	readAt := s.now()
	held, ok := s.collectReports(ctx, index, next.Epoch, members)
	if !ok {
		return false
	}
	// A removed member may admit requests until its proof expires. If the count
	// of removals is unchanged, no member was removed since the last issue;
	// before the first issue nobody held anything.
	if version > 0 && members.Removals != last.Removals {
		wait := time.Duration(float64(ProofLifetime)*driftAllowance) - s.now().Sub(readAt)
		if !sleep(ctx, wait) {
			return false
		}
	}
	next.Issued, next.Removals, next.Issues = true, members.Removals, workspaces
	version, ok = s.recordIssue(ctx, index, next, openedVersion)
	if !ok {
		return false
	}
	s.issue(index, next, version, held)
	return true
}

// recordIssue records the issue in the ledger before it takes effect. If the
// outcome of the update is unknown, it reads the ledger to find out.
func (s *Sharer) recordIssue(ctx context.Context, index int, next Ledger, openedVersion uint64) (uint64, bool) {
	version, err := s.UpdateLedger(ctx, index, next, openedVersion)
	if err == nil {
		return version, true
	}
	for range 5 {
		current, version, err := s.ReadLedger(ctx, index)
		if err == nil {
			return version, current.Epoch == next.Epoch && current.Issued && current.Leader == s.Self.ID
		}
		if !sleep(ctx, recoveryRetryDelay) {
			return 0, false
		}
	}
	return 0, false
}

// issue adds the fractions that no member holds to this instance, with empty
// buckets, unless it has entered a later epoch.
func (s *Sharer) issue(index int, ledger Ledger, version uint64, held map[identifier.WorkspaceName]limiter.Fraction) {
	for _, w := range ledger.Issues {
		s.holding(w)
	}
	sh := &s.shards[index]
	sh.mu.Lock()
	if sh.epoch == ledger.Epoch {
		for _, w := range ledger.Issues {
			if held[w] < limiter.Whole {
				s.holding(w).bucket.Merge(s.limit(w), limiter.Share{Fraction: limiter.Whole - held[w]})
			}
		}
	}
	sh.ledger, sh.ledgerVersion, sh.ledgerCached, sh.lastIssue = ledger, version, true, s.now()
	sh.mu.Unlock()
	for _, w := range ledger.Issues {
		s.holding(w).retryFetch()
	}
}

// collectReports asks every member to enter the epoch until all have answered,
// and returns the sum of their fractions for each workspace. It gives up when a
// member that has not answered left the rosters, or when a later epoch exists.
func (s *Sharer) collectReports(ctx context.Context, index int, epoch uint64, members Members,
) (map[identifier.WorkspaceName]limiter.Fraction, bool) {
	held := map[identifier.WorkspaceName]limiter.Fraction{}
	waiting := members.Peers
	for {
		reports := s.requestReports(ctx, waiting, EpochEnter{Shard: index, Epoch: epoch})
		var unanswered []Peer
		for i, r := range reports {
			if r == nil {
				unanswered = append(unanswered, waiting[i])
				continue
			}
			if r.Epoch != epoch {
				return nil, false
			}
			for w, share := range r.Holdings {
				held[w] += share.Fraction
			}
		}
		if len(unanswered) == 0 {
			return held, true
		}
		waiting = unanswered
		if !sleep(ctx, enterTimeout) {
			return nil, false
		}
		if current, err := s.Members(ctx); err == nil && !containsAll(current.Peers, waiting) {
			return nil, false
		}
	}
}

// requestReports sends the message to the peers and returns the answer of each,
// or nil for a peer that did not answer.
func (s *Sharer) requestReports(ctx context.Context, peers []Peer, message EpochEnter) []*ShareReport {
	reports := make([]*ShareReport, len(peers))
	var group errgroup.Group
	group.SetLimit(maxParallelEnters)
	for i, p := range peers {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, enterTimeout)
			defer cancel()
			var answer any
			var err error
			if p.ID == s.Self.ID {
				answer, err = s.Handle(ctx, p.ID, message)
			} else {
				answer, err = s.Request(ctx, p.ID, message)
			}
			if r, ok := answer.(ShareReport); ok && err == nil && r.Shard == message.Shard {
				reports[i] = &r
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func containsAll(peers, wanted []Peer) bool {
	listed := make(map[identifier.InstanceID]bool, len(peers))
	for _, p := range peers {
		listed[p.ID] = true
	}
	for _, p := range wanted {
		if !listed[p.ID] {
			return false
		}
	}
	return true
}

// sleep waits for the duration. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
