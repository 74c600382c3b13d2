package sessioner

import (
	"sync"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// serviceTimes holds a time for each service. The zero value is ready to use. It is
// safe for concurrent use.
type serviceTimes struct {
	mu    sync.Mutex
	times map[identifier.ServiceName]time.Time
}

// record sets the time of the service to the present.
func (t *serviceTimes) record(service identifier.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[identifier.ServiceName]time.Time{}
	}
	t.times[service] = time.Now()
}

// isDue reports whether the time of the service is at least the pause ago.
func (t *serviceTimes) isDue(service identifier.ServiceName, pause time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.times[service]) >= pause
}
