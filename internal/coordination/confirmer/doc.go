// Package confirmer decides whether an instance holds a write right: proof,
// from answers of the group's members, that no newer term has begun. A write
// right works like a lease that the members renew by answering status queries.
//
// A write right for a service and term lasts for [RightDuration], counted from
// before the oldest status query that it needs was sent. It needs one answer of
// the primary of the term, and answers of a majority of the members with a
// promise of at most the term. A promoter fences a majority and then waits for
// [RightExpiryWait], which is the same duration plus clock drift, so every
// write right for the older term has expired before the newer term begins.
//
// Invariant: every answer that counts was given to a query sent within the last
// [RightDuration] by a member whose latest known promise is at most the term.
package confirmer
