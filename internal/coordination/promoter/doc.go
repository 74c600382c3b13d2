// Package promoter performs the failover of database groups: it replaces a
// primary that has failed or is draining, and makes members that follow no
// primary or one of an older term follow the current primary.
//
// An attempt opens a term in six steps:
//
//  1. Decide: a conditional update of the group's record on the platform claims
//     the new term.
//  2. Fence: a majority of the members promises the new term, and with it to
//     reject commands of older terms.
//  3. Wait until no write right of an older term is valid any more.
//  4. Promote the member with the longest log.
//  5. Make the other members follow the new primary.
//  6. Mark the group's record as open.
//
// A promise is held by the attempt, not by the instance, so that an instance
// that resumes an old attempt cannot use the promise of a newer one.
//
// Invariants: an attempt promotes at most one member. A member without a log,
// because it is new or lost its data, counts towards no majority. No term is
// claimed without the platform, and no member promoted without a majority.
package promoter
