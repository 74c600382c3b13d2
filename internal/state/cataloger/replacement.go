package cataloger

import (
	"cmp"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// ReplacementState is the state of a replacement in a leadership record. It is not
// stored: [Leadership.State] derives it, so that all releases agree on what is stored.
type ReplacementState int

// States of a replacement.
const (
	// NotReplacing means that the server of the record may be used as the primary.
	NotReplacing ReplacementState = iota
	// Announced means that the holder of the record replaces the primary and has
	// requested no promotion yet.
	Announced
	// SuccessorChosen means that the promotion of the successor may have been requested.
	SuccessorChosen
	// UnreadableRecord means that the record cannot be read, so that anything may have been
	// requested. It changes only by another record in the store.
	UnreadableRecord
)

// String returns the name of the state as docs/design/replacement_facts.md has it.
func (s ReplacementState) String() string {
	switch s {
	case NotReplacing:
		return "none"
	case Announced:
		return "announced"
	case SuccessorChosen:
		return "successor chosen"
	case UnreadableRecord:
		return "unreadable"
	}
	return "unknown"
}

// Sentinel errors of transitions whose precondition does not hold.
var (
	// ErrReplacing reports that a replacement is under way.
	ErrReplacing = errors.New("a replacement is under way")
	// ErrNotReplacing reports that no replacement is under way.
	ErrNotReplacing = errors.New("no replacement is under way")
	// ErrUnreadable reports that the record cannot be read, and must not be overwritten.
	ErrUnreadable = errors.New("leadership record cannot be read")
	// ErrNotHolder reports that another instance holds the replacement.
	ErrNotHolder = errors.New("another instance holds the replacement")
	// ErrSuccessorChosen reports that the promotion of a successor may have been requested.
	ErrSuccessorChosen = errors.New("the promotion of a successor may have been requested")
	// ErrNotSuccessor reports that the server is not the successor of the record.
	ErrNotSuccessor = errors.New("server is not the successor of the record")
)

// State returns the state of the replacement. A record without a holder is in the state
// [NotReplacing] also if it names a successor.
func (l Leadership) State() ReplacementState {
	switch {
	case l.Holder == "":
		return NotReplacing
	case l.Holder == unreadableHolder:
		return UnreadableRecord
	case l.Successor == "":
		return Announced
	}
	return SuccessorChosen
}

// IsUnreadable reports whether the record cannot be read.
func (l Leadership) IsUnreadable() bool {
	return l.State() == UnreadableRecord
}

// IsReplacing reports whether a replacement of the primary is under way. Until
// it ends, no server may be used as the primary.
func (l Leadership) IsReplacing() bool {
	return l.State() != NotReplacing
}

// IsHeldBy reports whether the instance holds the replacement.
func (l Leadership) IsHeldBy(holder identifier.InstanceID) bool {
	return l.IsReplacing() && l.Holder == holder
}

// IsSameReplacement reports whether both records are of the same holder and revision, so
// that an instance that knows o does not use the primary that l replaces.
func (l Leadership) IsSameReplacement(o Leadership) bool {
	return l.Revision == o.Revision && l.Holder == o.Holder
}

// RequestedPromotion returns the promotion that the holder may have requested, and false
// if it has requested none. An unreadable record has the one of the record before it.
func (l Leadership) RequestedPromotion() (OpenPromotion, bool) {
	if !l.IsReplacing() || l.Successor == "" {
		return "", false
	}
	return NewOpenPromotion(l.Successor, l.Token()), true
}

// Announce returns the record by which the holder announces a replacement. l is the
// record in the store, zero if there is none, and known the newest one that the instance
// knows, which the store may lack after it came back from an older copy. It returns
// [ErrReplacing] if either has a replacement under way, or [ErrUnreadable].
func (l Leadership) Announce(holder identifier.InstanceID, known Leadership) (Leadership, error) {
	switch {
	case l.IsUnreadable():
		return Leadership{}, ErrUnreadable
	case l.IsReplacing(), known.IsReplacing():
		return Leadership{}, errors.Wrapf(ErrReplacing, "holder %s", cmp.Or(l.Holder, known.Holder))
	}
	return l.hold(holder, known), nil
}

// TakeOver returns the record by which the holder continues the replacement of l or known,
// as in [Leadership.Announce], with the successor that was chosen. A known record that
// cannot be read counts as a replacement: the one in the store is then another or was
// removed. It returns [ErrNotReplacing] if neither has a replacement under way, or
// [ErrUnreadable].
func (l Leadership) TakeOver(holder identifier.InstanceID, known Leadership) (Leadership, error) {
	switch {
	case l.IsUnreadable():
		return Leadership{}, ErrUnreadable
	case !l.IsReplacing() && !known.IsReplacing():
		return Leadership{}, ErrNotReplacing
	}
	return l.hold(holder, known), nil
}

// hold returns the record in the store with the holder, and with what the known one adds.
func (l Leadership) hold(holder identifier.InstanceID, known Leadership) Leadership {
	next := l
	if known.Term > l.Term || known.IsReplacing() {
		// The store may have come back from a copy that lacks the known record.
		next = known
	}
	if l.Successor != "" {
		next.Successor = l.Successor
	}
	// An instance of an earlier release does not keep the starts that this one knows.
	next.TermStarts = cmp.Or(next.TermStarts, l.TermStarts, known.TermStarts)
	next.Holder, next.Revision = holder, l.Revision
	return next.withTokenAfter(l, known)
}

// ChooseSuccessor returns the record by which the holder chooses the server, before it
// requests its promotion. Another successor may have been chosen before. It returns
// [ErrNotReplacing], [ErrUnreadable] or [ErrNotHolder].
func (l Leadership) ChooseSuccessor(holder identifier.InstanceID, server identifier.BackendServerID) (Leadership, error) {
	if err := l.checkHolder(holder); err != nil {
		return Leadership{}, err
	}
	next := l.withTokenAfter(l)
	next.Successor = server
	return next, nil
}

// Finish returns the record by which the holder ends a replacement: the server leads
// the term. It returns [ErrNotSuccessor] if its promotion was not requested under this
// record, or the errors of [Leadership.ChooseSuccessor].
func (l Leadership) Finish(holder identifier.InstanceID, server identifier.BackendServerID, term identifier.Term, starts TermStarts) (Leadership, error) {
	if err := l.checkHolder(holder); err != nil {
		return Leadership{}, err
	}
	if server == "" || l.Successor != server {
		return Leadership{}, errors.Wrapf(ErrNotSuccessor, "server %q, successor %q", server, l.Successor)
	}
	return Leadership{Term: term, Server: server, TermStarts: starts, Revision: l.Revision}.withTokenAfter(l), nil
}

// GiveUp returns the record by which the holder ends a replacement without a new
// primary, so that the one from before may be used again. It returns [ErrSuccessorChosen] if
// a promotion may have been requested, also by an earlier holder, or the errors of
// [Leadership.ChooseSuccessor].
func (l Leadership) GiveUp(holder identifier.InstanceID) (Leadership, error) {
	if err := l.checkHolder(holder); err != nil {
		return Leadership{}, err
	}
	if l.State() == SuccessorChosen {
		return Leadership{}, errors.Wrapf(ErrSuccessorChosen, "successor %s", l.Successor)
	}
	return Leadership{Term: l.Term, Server: l.Server, TermStarts: l.TermStarts, Revision: l.Revision}.withTokenAfter(l), nil
}

// Restore returns the known record of a replacement that has ended, as it is written over
// l, the one in the store, which lacks it. It returns [ErrReplacing] if the known one is of
// a replacement under way, or [ErrUnreadable].
func (l Leadership) Restore(known Leadership) (Leadership, error) {
	switch {
	case l.IsUnreadable():
		return Leadership{}, ErrUnreadable
	case known.IsReplacing():
		return Leadership{}, errors.Wrapf(ErrReplacing, "holder %s", known.Holder)
	}
	restored := known.withTokenAfter(l, known)
	restored.Revision = l.Revision
	return restored, nil
}

// checkHolder returns an error unless the instance holds a replacement.
func (l Leadership) checkHolder(holder identifier.InstanceID) error {
	switch {
	case !l.IsReplacing():
		return ErrNotReplacing
	case l.IsUnreadable():
		return ErrUnreadable
	case l.Holder != holder:
		return errors.Wrapf(ErrNotHolder, "holder %s", l.Holder)
	}
	return nil
}
