package follower

import (
	"math/rand/v2"
	"time"
)

// maxFallbackRate is the number of queries a second to the store from the
// instances of one data centre whose relays have no recent proof, besides those
// of the relays. While the store is away, all of them would query it otherwise.
const maxFallbackRate = 5

// relayFallbackInterval is the time between two queries of a relay whose root has
// no recent proof. The first one is sent at once, because others wait for it.
const relayFallbackInterval = time.Second

// fallsBack reports whether an instance that got no recent proof from a relay
// queries the store in this round. It does without as long as its own proof is
// recent. In a data centre with many instances it waits for its turn then, while
// it goes on asking the relays.
func (f *Follower) fallsBack() bool {
	now := f.Holder.Clock()
	if age, ok := f.Holder.Age(); ok && age < maxProofAgeWithoutRelay {
		f.fallbackAt = 0
		return false
	}
	interval := f.fallbackInterval()
	if f.fallbackAt == 0 {
		f.fallbackAt = now
		if !isRelay(f.Holder.Catalog().Instances, f.Self.ID) {
			f.fallbackAt += rand.N(interval)
		}
	}
	if now < f.fallbackAt {
		return false
	}
	f.fallbackAt = now + interval
	return true
}

// fallbackInterval returns the time between two queries of this instance while
// its relays have no recent proof.
func (f *Follower) fallbackInterval() time.Duration {
	members := f.Holder.Catalog().Instances
	if isRelay(members, f.Self.ID) {
		return relayFallbackInterval
	}
	local := 0
	for _, m := range members {
		if m.DataCentre == members[f.Self.ID].DataCentre {
			local++
		}
	}
	return time.Duration(local) * time.Second / maxFallbackRate
}
