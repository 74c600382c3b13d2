package dispatcher

import "time"

const (
	// growthDelay is how long a larger number of available connections must be
	// stable before the budget grows. It keeps the budget from growing while the
	// list of instances flaps: other instances shrink their budgets only once
	// they see the change.
	growthDelay = 10 * time.Second
	// refusalPeriod is how long the budget stays halved after SQLSTATE 53300.
	refusalPeriod = 5 * time.Second
)

// budget is the number of connections that this instance may hold to one backend
// server. It shrinks at once and grows after [growthDelay].
type budget struct {
	granted        int
	available      int       // As of the last update.
	availableSince time.Time // When available last changed.
	refusedAt      time.Time // When a connection was last refused with 53300.
}

// update records the number of connections available now and returns the budget.
func (b *budget) update(available int, now time.Time) int {
	if available != b.available {
		b.available, b.availableSince = available, now
	}
	switch {
	case b.granted == 0, available < b.granted:
		b.granted = available
	case available > b.granted && now.Sub(b.availableSince) >= growthDelay:
		b.granted = available
	}
	if !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < refusalPeriod {
		return max(1, b.granted/2)
	}
	return b.granted
}

func (b *budget) recordRefusal(now time.Time) {
	b.refusedAt = now
}
