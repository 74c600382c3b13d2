package replacer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// TakeoverTimeout is the time after which an instance takes over the replacement
// of another holder that has not changed its record. The other holder requests no
// promotion any more then.
const TakeoverTimeout = 6 * time.Second

const (
	// suspicionTimeout is the time without contact to the primary after which
	// the first instance in rank order replaces it. It is longer than the
	// retransmission of a lost packet and than two queries on new connections.
	suspicionTimeout = 700 * time.Millisecond
	// delayPerRank is added for each instance that ranks before this one. The
	// record already excludes concurrent replacements, so the delay only saves
	// calls.
	delayPerRank = 120 * time.Millisecond
	// maxRankDelay bounds the sum of these delays.
	maxRankDelay = 600 * time.Millisecond
	// promotionWindow is the time from the last write of a record in which its
	// holder may request a promotion. The request is answered or given up before
	// another instance can take over.
	promotionWindow = TakeoverTimeout - promoteCallTimeout - 500*time.Millisecond
)

// hasSuccessor reports whether a registered server other than the primary may take
// over.
func hasSuccessor(servers []cataloger.BackendServer, primary identifier.BackendServerID) bool {
	return slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.ID != primary && !s.IsLeaving() })
}

// hasSelfDeclaredPrimary reports whether a registered server declares itself the
// primary.
func hasSelfDeclaredPrimary(servers []cataloger.BackendServer) bool {
	return slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.ClaimsPrimary })
}

// RankDelay returns how long an instance waits after [suspicionTimeout], so that
// the watchers of a service act one after the other. The rank of an instance
// differs between services. An instance that is no watcher ranks last.
func RankDelay(service identifier.ServiceName, self identifier.InstanceID, watchers []identifier.InstanceID) time.Duration {
	if len(watchers) > 0 && !slices.Contains(watchers, self) {
		return maxRankDelay
	}
	own := rankWeight(service, self)
	rank := 0
	for _, id := range watchers {
		if w := rankWeight(service, id); w > own || (w == own && id > self) {
			rank++
		}
	}
	return min(time.Duration(rank)*delayPerRank, maxRankDelay)
}

func rankWeight(service identifier.ServiceName, id identifier.InstanceID) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(id))
}

// isAvailable reports whether an instance may begin a replacement or continue
// the one that the record announces. unchangedFor is the time since the instance
// first saw this revision of the record.
func isAvailable(l cataloger.Leadership, self identifier.InstanceID, unchangedFor time.Duration) bool {
	return !l.IsReplacing() || l.IsHeldBy(self) || unchangedFor >= TakeoverTimeout
}
