package sharer

import (
	"context"
	"math"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

const (
	// reportInterval is the interval of the periodic work, and so the shortest
	// time between two reports to a peer.
	reportInterval = 500 * time.Millisecond
	// maxReportedHoldings bounds the workspaces reported in one interval, and
	// so the cost of reports for each instance.
	maxReportedHoldings = 16
	// minReportedChange is the smallest change of a share, relative to the
	// limit, that is reported.
	minReportedChange = 0.1
)

// sentReport is the content and receiver of the last report of a holding.
type sentReport struct {
	share   limiter.Share
	other   identifier.InstanceID
	tracker identifier.InstanceID
}

// run does the periodic work until the context ends.
func (s *Sharer) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Sharer) tick() {
	now := s.now()
	s.LimitsChanged()
	s.peers.update(s.Self, s.Peers())
	s.transfers.purge(s.peers.contains)
	for _, p := range s.transfers.takeOverdue(now) {
		if !s.peers.contains(p.peer) || !s.spawn(func(ctx context.Context) { s.roundTrip(ctx, p) }) {
			s.transfers.markUnanswered(p)
		}
	}
	s.syncEpochs()
	if !s.draining() {
		s.reportChanges()
		s.offerSmallShares(now)
		s.startRecoveries(now)
	}
}

// reportChanges reports changed shares to the trackers in this data centre. The
// tracker of a data centre itself reports to the tracker of the fleet, and adds
// the largest holder in its data centre.
func (s *Sharer) reportChanges() {
	reports := map[identifier.InstanceID]ShareReport{}
	count := 0
	for w, h := range s.allHoldings() {
		if count == maxReportedHoldings {
			break
		}
		trackers := s.trackers(w)
		tracker := trackers[0]
		if tracker == s.Self.ID {
			tracker = trackers[1]
		}
		if tracker == s.Self.ID || tracker == "" {
			continue
		}
		share, other, changed := h.changeToReport(tracker, trackers[0] == s.Self.ID)
		if !changed {
			continue
		}
		count++
		r, ok := reports[tracker]
		if !ok {
			r = ShareReport{
				Holdings: map[identifier.WorkspaceName]limiter.Share{},
				Others:   map[identifier.WorkspaceName]Holder{},
			}
			reports[tracker] = r
		}
		r.Holdings[w] = share
		if other.Instance != "" {
			r.Others[w] = other
		}
	}
	for tracker, r := range reports {
		s.Send(tracker, r)
	}
}

// offerSmallShares offers shares that are too small to be useful to the largest
// holder. They remain when a share is transferred while part of it is lent.
func (s *Sharer) offerSmallShares(now time.Time) {
	offers := map[identifier.InstanceID]ShareReport{}
	for w, h := range s.allHoldings() {
		limit := s.limit(w)
		held := h.bucket.Held(limit)
		if held.Fraction == 0 || held.Fraction.Of(limit.Burst) >= minUsefulCapacity {
			continue
		}
		h.mu.Lock()
		list := h.holders.largest(1, "", now)
		h.mu.Unlock()
		if len(list) == 0 || list[0].Share.Fraction <= held.Fraction || s.peers.unresponsive(list[0].Instance, now) {
			continue
		}
		to := list[0].Instance
		if _, ok := offers[to]; !ok {
			offers[to] = ShareReport{Offered: true, Holdings: map[identifier.WorkspaceName]limiter.Share{}}
		}
		if len(offers[to].Holdings) < maxReportedHoldings {
			offers[to].Holdings[w] = held
		}
	}
	for to, r := range offers {
		s.Send(to, r)
	}
}

// changeToReport returns what to report to the tracker, and whether it differs
// enough from the last report to be sent.
func (h *holding) changeToReport(tracker identifier.InstanceID, isTracker bool) (limiter.Share, Holder, bool) {
	limit := h.sharer.limit(h.workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	share := h.bucket.Held(limit)
	var other Holder
	if isTracker {
		for _, holder := range h.holders.largest(maxHolders, "", h.sharer.now()) {
			if holder.DataCentre == h.sharer.Self.DataCentre {
				other = holder
				break
			}
		}
	}
	last := h.lastReport
	moved := math.Abs(float64(share.Fraction)-float64(last.share.Fraction)) / float64(limiter.Whole)
	filled := math.Abs(share.Tokens-last.share.Tokens) / max(limit.Burst, 1)
	emptied := (share.Fraction == 0) != (last.share.Fraction == 0)
	same := other.Instance == last.other && tracker == last.tracker
	if same && !emptied && max(moved, filled) < minReportedChange {
		return share, other, false
	}
	h.lastReport = sentReport{share: share, other: other.Instance, tracker: tracker}
	return share, other, true
}

// handleShareReport records the reported holders. If a share is offered, it is
// fetched at once.
func (s *Sharer) handleShareReport(from identifier.InstanceID, r ShareReport) {
	now := s.now()
	for w, share := range r.Holdings {
		h := s.holding(w)
		h.mu.Lock()
		h.holders.update(Holder{Instance: from, DataCentre: s.peers.dataCentre(from), Share: share}, now)
		if other, ok := r.Others[w]; ok && other.Instance != s.Self.ID {
			h.holders.update(other, now)
		}
		h.mu.Unlock()
		if r.Offered && !s.draining() {
			s.syncEpoch(h.shardIndex)
			s.spawn(func(ctx context.Context) { h.fetchAll(ctx, from) })
		}
	}
}
