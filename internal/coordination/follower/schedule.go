package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Run executes rounds until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		err := f.Round(ctx)
		f.logStoreState(err)
		pause := f.nextPeriod(err) - time.Since(started)
		select {
		case <-ctx.Done():
		case <-f.wakeups():
		case <-time.After(max(pause, 10*time.Millisecond)):
		}
	}
	if f.pending != nil {
		<-f.pending.answer // The query ends with its context.
	}
	if f.transfer != nil {
		<-f.transfer.answer
	}
}

// wake starts the next round at once.
func (f *Follower) wake() {
	select {
	case f.wakeups() <- struct{}{}:
	default:
	}
}

func (f *Follower) wakeups() chan struct{} {
	f.wakeOnce.Do(func() { f.wakes = make(chan struct{}, 1) })
	return f.wakes
}

// nextPeriod returns the time from the start of a round with this result to the
// start of the next. Jitter spreads the rounds of the instances.
func (f *Follower) nextPeriod(err error) time.Duration {
	period := f.Period
	if period == 0 {
		period = defaultPeriod
	}
	switch {
	case errors.Is(err, ErrNoConfiguration):
		period = unconfiguredPeriod
	case f.searches:
		period = min(period, f.searchPeriod())
	case errors.Is(err, ErrConnecting):
		period = connectingPeriod
	case err == nil && f.relayed:
		period = min(period, relayPeriod)
	case err != nil:
		period = min(retryPeriod<<min(f.failures, 2), period)
	}
	return period*7/8 + rand.N(period/4)
}

// searchPeriod returns the time between two requests of a search.
func (f *Follower) searchPeriod() time.Duration {
	if f.searchRounds > quickSearch {
		return longSearchPeriod
	}
	return searchPeriod
}

// logStoreState counts failed rounds and logs when the store becomes unreachable
// and reachable again. While it stays so, also from the start on, a line follows each
// time that the failures have doubled: the cause may be another one by then.
func (f *Follower) logStoreState(err error) {
	switch {
	case errors.Is(err, ErrConnecting), errors.Is(err, errUnanswered):
	case err != nil && !errors.Is(err, ErrNoConfiguration):
		f.failures++
		f.storeReached = false
		if f.failures&(f.failures-1) == 0 {
			f.Logger.Warn().Str("event", "store_lost").Int("failures", f.failures).Err(err).Send()
		}
	case !f.storeReached:
		f.storeReached = true
		f.failures = 0
		f.Logger.Info().Str("event", "store_reached").Stringer("revision", f.knownRevision).Send()
	default:
		f.failures = 0
	}
}

// logFallback logs when this instance begins and ends to serve as a fallback relay.
func (f *Follower) logFallback() {
	serves := f.Fallback.Serves(f.Holder.Clock())
	if serves == f.loggedServing {
		return
	}
	f.loggedServing = serves
	event := "fallback_relay_ended"
	if serves {
		event = "fallback_relay_began"
	}
	f.Logger.Info().Str("event", event).Send()
}
