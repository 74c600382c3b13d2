package sharer

import (
	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/identifier"
)

// ShardCount is the number of ledger shards. A hash of its name assigns a
// workspace to a shard.
const ShardCount = 16

// Ledger is the platform object `ledger/<shard>`. It does not record the
// fractions themselves, only the epoch in which they are valid.
type Ledger struct {
	Epoch    uint64                     `json:"epoch"`
	Issued   bool                       `json:"issued"`   // The missing fractions of the epoch were issued.
	Leader   identifier.InstanceID      `json:"leader"`   // Opened the epoch.
	Removals uint64                     `json:"removals"` // Value of Members.Removals at the issue.
	Issues   []identifier.WorkspaceName `json:"issues"`   // Workspaces whose whole fraction was issued.
}

// Members is the content of the rosters of all data centres, freshly read.
type Members struct {
	Peers []Peer // Includes this instance.
	// Removals counts the roster entries whose instance did not first transfer
	// all its shares and then remove the entry itself. It only grows.
	Removals uint64
}

// ShardOf returns the ledger shard of a workspace.
func ShardOf(workspace identifier.WorkspaceName) int {
	return int(xxhash.Sum64String(string(workspace)) % ShardCount)
}

// rank returns the rendezvous hash of an instance for a key. The instance with
// the highest value ranks first.
func rank(key string, id identifier.InstanceID) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// highestRanked returns the eligible peer that ranks first for a key.
func highestRanked(key string, peers []Peer, eligible func(Peer) bool) (Peer, bool) {
	var best Peer
	var score uint64
	found := false
	for _, p := range peers {
		if !eligible(p) {
			continue
		}
		if r := rank(key, p.ID); !found || r > score {
			best, score, found = p, r, true
		}
	}
	return best, found
}
