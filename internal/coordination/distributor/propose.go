package distributor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Limits of a submission.
const (
	maxOpenTries      = 8                // A change that loses this many races against other proposers is refused.
	submissionTimeout = 20 * time.Second // Covers the wait for another proposal and for the own one.
)

// errUpdateUnknown reports that the platform did not confirm in time whether an
// update took effect.
var errUpdateUnknown = errors.New("the platform did not tell whether the update took effect")

// Propose activates a change on all instances. Besides the errors of s.Apply it
// returns [*StaleError], [*RefusedError], [*UndecidedError],
// [ErrInvalidAttemptID] and [ErrAttemptIDReused]. It continues when the context
// of the caller ends, because the proposal may then be open; Close cancels it.
func (d *Distributor) Propose(ctx context.Context, s Submission) (Result, error) {
	if err := s.validate(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submissionTimeout)
	defer cancel()
	d.mu.Lock()
	lifetime := d.lifetime
	d.mu.Unlock()
	if lifetime != nil {
		defer context.AfterFunc(lifetime, cancel)()
	}
	for range maxOpenTries {
		head, err := d.readHead(ctx)
		if err != nil {
			return Result{}, platformUnreadable(err)
		}
		if err := d.adoptHead(ctx, head, ""); err != nil {
			return Result{}, platformUnreadable(err)
		}
		if o, ok := head.outcome(s.Attempt); ok && !d.disabled.attempt {
			if o.ContentDigest != s.contentDigest() {
				return Result{}, ErrAttemptIDReused
			}
			return o.result()
		}
		if head.Proposal != nil {
			if err := d.awaitOpenProposal(ctx, head, s); err != nil {
				return Result{}, err
			}
			continue
		}
		opened, raceLost, err := d.openProposal(ctx, head, s)
		if err != nil {
			return Result{}, err
		}
		if !raceLost {
			return d.decideProposal(ctx, opened)
		}
	}
	return Result{}, &RefusedError{Reason: "other changes were always faster", RetryAfter: time.Second}
}

func platformUnreadable(err error) error {
	return &RefusedError{Reason: "the platform cannot be read: " + err.Error(), RetryAfter: 5 * time.Second}
}

// awaitOpenProposal waits until the open proposal is settled.
func (d *Distributor) awaitOpenProposal(ctx context.Context, head Head, s Submission) error {
	waitCtx, cancel := context.WithTimeout(ctx, abandonedProposalAge+platformTimeout)
	defer cancel()
	for sleepContext(waitCtx, pollInterval) {
		latest, err := d.readHead(waitCtx)
		if err == nil && latest.Revision != head.Revision {
			return nil
		}
	}
	if head.Proposal.Attempt == s.Attempt {
		return &UndecidedError{Reason: "the proposal of this attempt is still open", RetryAfter: time.Second}
	}
	return &RefusedError{Reason: "another change is still open", RetryAfter: time.Second}
}

// openProposal stores the next version and opens the proposal. raceLost is true
// when another proposer was faster.
func (d *Distributor) openProposal(ctx context.Context, head Head, s Submission) (opened Head, raceLost bool, err error) {
	if head.Accepted.Version != s.Base {
		return Head{}, false, &StaleError{Base: s.Base, Accepted: head.Accepted.Version}
	}
	base, err := d.loadDocument(ctx, head.Accepted, "")
	if err != nil {
		return Head{}, false, platformUnreadable(err)
	}
	doc, err := s.Apply(base)
	if err != nil {
		return Head{}, false, err
	}
	data, err := doc.Encode()
	if err != nil {
		return Head{}, false, errors.Wrap(err, "encode document")
	}
	ref, err := d.storeRecord(ctx, Record{
		Version: doc.Version, Previous: head.Accepted, Author: s.Author, Time: d.now().UTC().Round(0),
		Attempt: s.Attempt, Document: data,
	})
	if err != nil {
		return Head{}, false, platformUnreadable(err)
	}
	next := head
	next.Proposal = &Proposal{Ref: ref, Attempt: s.Attempt, ContentDigest: s.contentDigest(), Proposer: d.Instance}
	result, err := d.updateHead(ctx, head.Revision, next)
	if err != nil {
		return Head{}, false, &UndecidedError{Reason: err.Error(), RetryAfter: 5 * time.Second}
	}
	if p := result.Proposal; p != nil && p.Ref == ref {
		_ = d.adoptHead(ctx, result, "") // Otherwise it arrives through the relays.
		return result, false, nil
	}
	return Head{}, true, nil
}

// updateHead writes the head on the condition that the stored head still has
// the given revision. It returns the stored head afterwards, which may be that
// of another writer. After a lost answer it reads the head: while the revision
// is unchanged it repeats the same conditional write, so that the write takes
// effect at most once.
func (d *Distributor) updateHead(ctx context.Context, revision uint64, next Head) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode head")
	}
	for {
		version, err := d.Platform.write(ctx, kindHead, nameHead, value, revision)
		if err == nil {
			next.Revision = version
			return next, nil
		}
		reread, err := d.readHead(ctx)
		if err == nil && reread.Revision != revision {
			return reread, nil
		}
		if !sleepContext(ctx, pollInterval) {
			return Head{}, errUpdateUnknown
		}
	}
}

// AttemptResult returns the outcome of an attempt. The second result is false
// while the attempt is open or when no such attempt is recorded.
func (d *Distributor) AttemptResult(ctx context.Context, attempt string) (result Result, settled bool, err error) {
	head, err := d.readHead(ctx)
	if err != nil {
		return Result{}, false, platformUnreadable(err)
	}
	if o, ok := head.outcome(attempt); ok {
		result, err = o.result()
		return result, true, err
	}
	if head.Proposal != nil && head.Proposal.Attempt == attempt {
		return Result{}, false, &UndecidedError{Reason: "the proposal of this attempt is open", RetryAfter: time.Second}
	}
	return Result{}, false, nil
}
