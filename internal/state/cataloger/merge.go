package cataloger

import "cmp"

// Merge returns the newest record that follows from l, which an instance knows, and
// another one of the service, read from the store or told by a peer. A peer may tell a record
// from before the store came back from an older copy that the instance has already read.
func (l Leadership) Merge(o Leadership) Leadership {
	merged := l
	switch {
	case o.Revision.Era < l.Revision.Era:
		merged = mergeRecord(o, l)
	case o.Supersedes(l):
		merged = mergeRecord(l, o)
	}
	return merged.mergeToken(l).mergeToken(o)
}

// Supersedes reports whether l is newer than the other record of the service.
// A carried record supersedes the restored one. The end of a replacement
// supersedes the replacement itself, which its holder may announce before the
// store has taken the record. Carried records have lost their own revisions, so that one
// without a replacement may be from before it: the one that is further in it supersedes.
func (l Leadership) Supersedes(o Leadership) bool {
	switch {
	case l.Revision != o.Revision:
		return l.Revision.IsAfter(o.Revision)
	case l.Carried != o.Carried:
		return l.Carried
	case l.Term != o.Term:
		return l.Term > o.Term
	case l.Carried:
		return l.State() > o.State()
	}
	return o.IsReplacing() && !l.IsReplacing()
}

// mergeRecord returns the record that follows from an earlier one and a later one.
// A store that came back from an older copy returns records from before known
// replacements: a term that has ended does not return, and a replacement that
// was announced goes on until its holder ends it or another takes it over.
func mergeRecord(earlier, later Leadership) Leadership {
	if later.IsUnreadable() {
		return mergeUnreadable(earlier, later)
	}
	restored := later.Revision.Era > earlier.Revision.Era
	if _, requested := earlier.RequestedPromotion(); earlier.IsUnreadable() && restored && requested {
		earlier.Holder = unknownHolder // Nothing tells that the replacement has ended.
	} else if earlier.IsUnreadable() {
		earlier.Holder, earlier.Successor = "", "" // The later record can be read.
	}
	merged := later
	switch {
	case later.Term < earlier.Term && restored:
		merged = earlier
		merged.Carried = true
	case later.Term < earlier.Term:
		merged.Term, merged.Server, merged.TermStarts = earlier.Term, earlier.Server, earlier.TermStarts
	case later.Term == earlier.Term && restored && earlier.IsReplacing() && !later.IsReplacing():
		merged = earlier
		merged.Carried = true
	case later.Term == earlier.Term && restored && later.Successor == "" && earlier.Successor != "":
		merged.Successor = earlier.Successor
		merged.Carried = true
	}
	if restored {
		merged.OpenPromotions = earlier.OpenPromotions.Union(later.OpenPromotions)
	}
	if merged.TermStarts == "" {
		merged.TermStarts = earlier.TermStarts // An instance of an earlier release does not keep it.
	}
	merged.Revision = later.Revision
	return merged
}

// mergeUnreadable returns a later record that cannot be read, with what the earlier one
// tells of the term and of the successor that was chosen.
func mergeUnreadable(earlier, later Leadership) Leadership {
	if earlier.Term > later.Term {
		later.Term, later.Server, later.TermStarts = earlier.Term, earlier.Server, earlier.TermStarts
	}
	later.Successor = cmp.Or(later.Successor, earlier.Successor)
	return later
}
