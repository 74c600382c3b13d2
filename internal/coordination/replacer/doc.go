// Package replacer replaces the primary of a database group that is gone or
// about to leave.
//
// The right to replace is a lease in the store, one object a service, taken by
// a conditional write. Its revision is the fencing token of the promotion, so
// two holders never have the same one, and a promotion that is executed late is
// refused once a newer one has been seen. A holder that decides anew takes a
// new token first.
//
// A primary is replaced when this instance could not reach it for a while, most
// of the other instances answer, and none of them has seen it lead. A primary
// that drains is made to step down first and its successor must have received
// all of its log, so that no acknowledged commit is lost.
package replacer
