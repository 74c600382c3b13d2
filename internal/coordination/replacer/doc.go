// Package replacer performs failover: it replaces the primary of a database
// group that has failed or is draining.
//
// The right to replace a primary is a lease in the store, one object per
// service, acquired by a conditional write. The revision of the lease is the
// fencing token of the promotion, so two holders never use the same token, and
// a promotion that is executed late is refused once a newer token has been
// seen. A holder that chooses a successor again first acquires a new token.
//
// A failed primary is replaced when this instance could not reach it for a
// while, most of the instances answer, and none of them has seen it lead. No
// majority is needed once the registration of the primary has lapsed. A draining
// primary first steps down, and its successor must have received all of its log,
// so that no acknowledged commit is lost.
package replacer
