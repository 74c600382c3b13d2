package cataloger

import "oleanderpulley/internal/state/identifier"

// Leadership is the record in the store that says which server is the primary of
// a service and whether it is being replaced. A service whose primary was never
// replaced has none.
//
// Earlier releases have the field "position", the end of the successor's log when it
// was chosen, and read up to it. It is neither read nor written: the successor receives
// more until it leads, and another server may be promoted in its place.
type Leadership struct {
	// Term is the term that Server leads, or 0 if the primary was never
	// replaced.
	Term identifier.Term `json:"term" cbor:"term"`
	// Server is the only one that may be used as the primary. If it is empty,
	// the primary was never replaced, and the server that leads may be used.
	Server identifier.BackendServerID `json:"server,omitempty" cbor:"server,omitempty"`
	// Successor is the server whose promotion may have been requested. It is
	// set only during a replacement.
	Successor identifier.BackendServerID `json:"successor,omitempty" cbor:"successor,omitempty"`
	// Holder is the instance that replaces the primary. It is empty while no
	// replacement is under way.
	Holder identifier.InstanceID `json:"holder,omitempty" cbor:"holder,omitempty"`
	// TermStarts tells which logs have commits that a promotion discarded. Releases
	// before this field neither read nor keep it.
	TermStarts TermStarts `json:"term_starts,omitempty" cbor:"term_starts,omitempty"`
	// OpenPromotions are the promotions that were not answered and may still be
	// executed. Those of the holder for Successor are added once another server is
	// chosen or the replacement ends. Releases before this field neither read nor keep it.
	OpenPromotions OpenPromotions `json:"open_promotions,omitempty" cbor:"open_promotions,omitempty"`
	// LastToken is the highest fencing token that may have been used before the record
	// was written, see [Leadership.Token]. Releases before this field neither read nor
	// keep it: their token is the packed revision.
	LastToken uint64 `json:"last_token,omitempty" cbor:"last_token,omitempty"`
	// Revision is that of the record in the store.
	Revision Revision `json:"-" cbor:"revision"`
	// Carried reports that the record is from before the store came back from an
	// older copy, and has the revision of the record that the store then had.
	Carried bool `json:"-" cbor:"carried"`
}

// unreadableHolder is the holder of a record that cannot be read. No instance has this
// id. Earlier releases that receive it with a catalog see a replacement under way.
const unreadableHolder identifier.InstanceID = "(unreadable record)"

// unknownHolder is the holder of a replacement whose record could not be read when the
// store came back from an older copy. No instance has this id, so that another one takes
// the replacement over, also one of an earlier release that receives the record.
const unknownHolder identifier.InstanceID = "(unknown holder)"

// UnreadableLeadership returns what is known of a record that cannot be read. It is
// never the same as no record: no server may be used as the primary, and none promoted,
// until the record can be read again or is removed.
func UnreadableLeadership(revision Revision) Leadership {
	return Leadership{Holder: unreadableHolder, Revision: revision}
}
