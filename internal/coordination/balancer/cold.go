package balancer

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
)

// TakeCold reports whether a statement may be sent to the server now, and counts it.
// A server that is still slow after its start gets at most a part of its service's
// cold rate from this instance, evenly spaced, so that all instances together stay
// within that rate. Any other server is not limited.
func (b *Balancer) TakeCold(s cataloger.BackendServer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.admitsCold(s) {
		return false
	}
	if rate := b.coldRate(s); rate > 0 {
		b.server(s.ID).nextCold = b.now().Add(time.Duration(float64(time.Second) / rate))
	}
	return true
}

// admitsCold reports whether a cold server may get a statement now; mu must be held.
func (b *Balancer) admitsCold(s cataloger.BackendServer) bool {
	rate := b.coldRate(s)
	return rate < 0 || (rate > 0 && !b.now().Before(b.server(s.ID).nextCold))
}

// unlimitedRate is the cold rate of a server that is not limited.
const unlimitedRate = -1

// coldRate returns the statements a second that this instance may send to the
// server, or [unlimitedRate].
func (b *Balancer) coldRate(s cataloger.BackendServer) float64 {
	if b.ColdRate == nil || !s.IsCold(b.now()) {
		return unlimitedRate
	}
	rate, limited := b.ColdRate(s)
	if !limited {
		return unlimitedRate
	}
	return max(0, rate)
}
