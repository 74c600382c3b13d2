package follower

import (
	"context"
	"sync"
	"time"

	"oleanderpulley/internal/state/cataloger"
)

const (
	// maxInlineBytes is the size of an update up to which it comes with the answer to
	// the request for a proof. A larger one is transferred apart, because the sender
	// may need longer for it than a request for a proof waits, and would send it again
	// and again otherwise.
	maxInlineBytes = 4 << 10
	// transferTimeout bounds a transfer. The requests for proofs go on meanwhile.
	transferTimeout = 2 * time.Second
	// transferShare is the share of the link that updates may take. The rest is for
	// statements and proofs.
	transferShare = 0.75
	// maxTransferBacklog is the time that the updates under way may take, above which
	// a requester is sent away until they are sent.
	maxTransferBacklog = 100 * time.Millisecond
)

// transferBudget bounds the updates that an instance sends by what its link carries,
// however many instances request them. The zero value bounds nothing. It is safe
// for concurrent use.
type transferBudget struct {
	mu     sync.Mutex
	freeAt time.Duration // When the updates under way have been sent.
}

// admit reserves the link for an update, or returns the time after which to request
// it again.
func (b *transferBudget) admit(now time.Duration, size int, linkRate float64) (wait time.Duration) {
	if linkRate <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeAt = max(b.freeAt, now)
	if backlog := b.freeAt - now; backlog > maxTransferBacklog {
		return backlog
	}
	b.freeAt += time.Duration(float64(size) / (transferShare * linkRate) * float64(time.Second))
	return 0
}

// transfer is an update that was requested and has not been answered.
type transfer struct {
	sent   time.Duration // Clock reading.
	answer chan transferAnswer
}

type transferAnswer struct {
	reply CatalogReply
	err   error
}

// attach adds an update to a reply, or its size if the requester has to fetch it.
func (f *Follower) attach(r CatalogReply, update *cataloger.Update, request CatalogRequest) CatalogReply {
	size, err := update.Size()
	switch {
	case err != nil:
		f.Logger.Error().Str("event", "update_not_encoded").Err(err).Send()
		return CatalogReply{}
	case !request.Fetch && size > maxInlineBytes:
		r.UpdateBytes = size
		return r
	case size > maxInlineBytes:
		if r.Wait = f.transfers.admit(f.Holder.Clock(), size, f.LinkRate); r.Wait > 0 {
			return r
		}
	}
	r.Update = update
	return r
}

// startTransfer requests the update that a reply has announced, unless one is under
// way or has to wait.
func (f *Follower) startTransfer(ctx context.Context, r CatalogReply, request CatalogRequest) {
	now := f.Holder.Clock()
	if f.transfer != nil || now < f.transferAt {
		return
	}
	t := &transfer{sent: now, answer: make(chan transferAnswer, 1)}
	f.transfer = t
	request.Fetch = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, transferTimeout)
		defer cancel()
		reply, err := f.Transfer(ctx, r.From, request)
		t.answer <- transferAnswer{reply, err}
		f.wake()
	}()
}

// collectTransfer adopts the update that was transferred, if one has arrived. The
// round goes on, because the proof of the update may be old.
func (f *Follower) collectTransfer(ctx context.Context) {
	if f.transfer == nil {
		return
	}
	select {
	case a := <-f.transfer.answer:
		sent := f.transfer.sent
		f.transfer = nil
		if err := f.adoptTransfer(ctx, sent, a); err != nil {
			f.Logger.Info().Str("event", "transfer_failed").Err(err).Send()
		}
	default:
	}
}

func (f *Follower) adoptTransfer(ctx context.Context, sent time.Duration, a transferAnswer) error {
	switch {
	case a.err != nil:
		return a.err
	case a.reply.Wait > 0:
		f.transferAt = f.Holder.Clock() + a.reply.Wait
		f.Logger.Debug().Str("event", "transfer_deferred").Dur("wait_ms", a.reply.Wait).Send()
	case a.reply.Update == nil:
	case f.Holder.Catalog() == nil:
		_, err := f.adoptFirst(ctx, sent, a.reply)
		return err
	default:
		f.adoptReply(sent, a.reply)
	}
	return nil
}

// adoptReply updates the catalog and its proof by a reply that was requested at the
// given time, and reports whether it could.
func (f *Follower) adoptReply(sent time.Duration, r CatalogReply) (done bool) {
	if r.Update != nil {
		c := f.updatedCatalog(r.Update)
		if c == nil || !f.adoptCatalog(c) {
			return false
		}
	}
	f.lastSuccess = sent
	f.fallbackHops.Store(int32(r.Fallback))
	f.Holder.SetProof(sent - r.Age)
	return true
}

// updatedCatalog returns the catalog after an update, or nil if the update is for
// another catalog than the present one.
func (f *Follower) updatedCatalog(u *cataloger.Update) *cataloger.Catalog {
	if u.Change == nil {
		return u.Catalog
	}
	known := f.Holder.Catalog()
	if u.Change.Base != f.history.digest(known) {
		return nil
	}
	return known.Apply(u.Change)
}
