package soaker

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// recoveryTime is the time without faults at the end of a run, after which
	// clients must be served again.
	recoveryTime = 6 * time.Second
	// lastWindow is the time before the end of the load in which clients must be served.
	lastWindow = recoveryTime / 3
	// minServedShare is the share of the attempts in the last window that must be served.
	minServedShare = 0.5
	// minLastAttempts is the number of attempts from which the last window counts. With
	// fewer, the load goes on for another window.
	minLastAttempts = 10
	// recoveryLimit is the time after the faults within which a window must count.
	recoveryLimit = 30 * time.Second
)

// failedSession is a session that ended before its first operation.
type failedSession struct {
	key, workspace string
	began          time.Time
}

// recovery is what clients attempted in a window of time after the faults: the operations
// that they sent, and the sessions that they began in vain.
type recovery struct {
	attempts, served int
	waits            string // What the clients waited for at the end of the window.
}

// isFailed reports whether clients were not served though they tried.
func (r recovery) isFailed() bool {
	return r.attempts > 0 && float64(r.served) < minServedShare*float64(r.attempts)
}

// isIdle reports whether too few attempts were made to tell.
func (r recovery) isIdle() bool {
	return !r.isFailed() && r.attempts < minLastAttempts
}

func (r recovery) String() string {
	return fmt.Sprintf("%d of %d operations were served; clients waited %s", r.served, r.attempts, r.waits)
}

// recoveryIn returns the recovery between two times. It leaves out withdrawable keys and
// the workspace desks, which exceeds its rate.
func (h *history) recoveryIn(began, ended time.Time) recovery {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := func(key, workspace string, at time.Time) bool {
		return !at.Before(began) && !at.After(ended) && !strings.HasPrefix(key, withdrawableKeyPrefix) && workspace != "desks"
	}
	var r recovery
	for _, o := range h.operations {
		if counts(o.key, o.workspace, o.sent) {
			r.attempts++
			if o.outcome == acknowledged {
				r.served++
			}
		}
	}
	for _, s := range h.failedSessions {
		if counts(s.key, s.workspace, s.began) {
			r.attempts++
		}
	}
	return r
}

// load is the operations of all clients, which can be interrupted.
type load struct {
	clients []*client
	history *history
	stop    chan struct{}
	running sync.WaitGroup
}

func (l *load) start() {
	l.stop = make(chan struct{})
	for _, c := range l.clients {
		l.running.Go(func() { c.run(l.stop) })
	}
}

// end ends the load, waits for the open operations and returns the recovery in the last
// window.
func (l *load) end() recovery {
	ended := time.Now()
	waits := l.waits(ended)
	close(l.stop)
	l.running.Wait()
	r := l.history.recoveryIn(ended.Add(-lastWindow), ended)
	r.waits = waits
	return r
}

// endRecovered ends the load. While the last window is idle, the load goes on for another
// window, until recoveryLimit after the faults. It returns the idle windows, and the broken
// promises.
func (l *load) endRecovered(ctx context.Context, faultsEnded time.Time) (idle, broken []string) {
	r := l.end()
	for r.isIdle() && ctx.Err() == nil {
		idle = append(idle, r.String())
		if time.Since(faultsEnded) >= recoveryLimit {
			return idle, []string{fmt.Sprintf("idle: within %s after the faults, no window of %s had %d operations: %s", recoveryLimit, lastWindow, minLastAttempts, r)}
		}
		l.start()
		sleep(ctx, lastWindow)
		r = l.end()
	}
	if r.isFailed() {
		broken = []string{fmt.Sprintf("end: after the faults, %s", r)}
	}
	return idle, broken
}

// wait is what a client waits for.
type wait struct {
	what  string
	since time.Time
}

// waits returns what the clients wait for at the time, with their numbers and the longest
// wait of each kind.
func (l *load) waits(at time.Time) string {
	counts, longest := map[string]int{}, map[string]time.Duration{}
	for _, c := range l.clients {
		w := c.waiting.Load()
		if w == nil {
			w = &wait{"to run", at}
		}
		counts[w.what]++
		longest[w.what] = max(longest[w.what], at.Sub(w.since))
	}
	var all []string
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, fmt.Sprintf("%s: %d, up to %s", what, counts[what], longest[what].Round(time.Millisecond)))
	}
	return strings.Join(all, "; ")
}
