package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// errUnanswered reports that a query of the store has not been answered yet. The
// next rounds request proofs of others meanwhile.
var errUnanswered = errors.New("the store has not answered yet")

// minAnswerWait is the time for which a round waits for the store's answer at
// least. An answer usually takes milliseconds.
const minAnswerWait = 60 * time.Millisecond

// storeQuery is a query of the store's revision.
type storeQuery struct {
	sent     time.Duration // Clock reading.
	fallback bool
	answer   chan storeAnswer
}

type storeAnswer struct {
	leaderships map[identifier.ServiceName]cataloger.Leadership
	revision    cataloger.Revision
	err         error
}

// queryStore queries the store's revision and updates the catalog. If the answer
// takes long, a later round handles it.
func (f *Follower) queryStore(ctx context.Context) error {
	if f.pending == nil {
		f.pending = f.sendQuery(ctx)
	}
	if f.Relay == nil || !f.isCatalogComplete() {
		return f.handleAnswer(ctx, <-f.pending.answer)
	}
	age, _ := f.Holder.Age()
	timer := time.NewTimer(max(minAnswerWait, maxProofAgeForRelays-age))
	defer timer.Stop()
	select {
	case a := <-f.pending.answer:
		return f.handleAnswer(ctx, a)
	case <-timer.C:
		f.searches = true
		return errUnanswered
	}
}

// sendQuery sends a query of the store's revision.
func (f *Follower) sendQuery(ctx context.Context) *storeQuery {
	q := &storeQuery{sent: f.Holder.Clock(), fallback: f.isFallbackQuery, answer: make(chan storeAnswer, 1)}
	timeout := callTimeout
	if f.failures == 0 && !f.Fallback.hasFailed() {
		timeout = firstAttemptTimeout
	}
	f.Fallback.Query(q.sent)
	query := f.revisionQuery()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var a storeAnswer
		a.leaderships, a.revision, a.err = query(ctx)
		q.answer <- a
	}()
	return q
}

// collectAnswer handles the answer to an earlier query, if it has arrived. A
// refusal of a fallback's query does not end the round.
func (f *Follower) collectAnswer(ctx context.Context) (answered bool, err error) {
	if f.pending == nil {
		return false, nil
	}
	select {
	case a := <-f.pending.answer:
		fallback := f.pending.fallback
		err := f.handleAnswer(ctx, a)
		if err != nil && fallback {
			f.Logger.Debug().Str("event", "fallback_query_failed").Err(err).Send()
			return false, nil
		}
		return true, err
	default:
		return false, nil
	}
}

// handleAnswer updates the catalog by an answer of the store.
func (f *Follower) handleAnswer(ctx context.Context, a storeAnswer) error {
	q := f.pending
	f.pending = nil
	f.Fallback.Observe(a.err)
	if a.err != nil {
		f.searches = f.Relay != nil
		return a.err
	}
	if err := f.observeEra(a.revision); err != nil {
		return err
	}
	f.recordStoreAnswer(q.sent)
	f.fallbackHops.Store(0)
	if q.fallback {
		f.fallbackHops.Store(1)
	}
	switch c := f.Holder.Catalog(); {
	case f.isCatalogComplete() && !a.revision.IsAfter(f.knownRevision):
		// A relay may have sent a newer catalog since the query.
		f.Holder.SetProof(q.sent)
		return nil
	case c != nil && c.Revision.IsAfter(a.revision):
		return nil // The lists are read after the next query.
	}
	return f.readLists(ctx, q.sent, a.leaderships, a.revision)
}

// maxProbedRecords is the number of leadership records up to which their list
// serves as the query for the store's revision.
const maxProbedRecords = 64

// revisionQuery returns the call that queries the store's revision. As long as
// there are few leadership records, it lists them, so that a change takes one call
// less; otherwise the returned records are nil.
func (f *Follower) revisionQuery() func(context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
	if c := f.Holder.Catalog(); c == nil || len(c.Leaderships) <= maxProbedRecords {
		return f.Store.Leaderships
	}
	return func(ctx context.Context) (map[identifier.ServiceName]cataloger.Leadership, cataloger.Revision, error) {
		revision, err := f.Store.Revision(ctx)
		return nil, revision, err
	}
}
