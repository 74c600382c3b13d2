// Package cataloger keeps what an instance believes of its configuration and
// its backend servers, with the proof of how fresh that is.
//
// A [Catalog] is immutable. A proof is the time at which the question that the
// store answered was sent: every change acknowledged before it is in the
// catalog. Times of proofs count suspension, because a key must stop working
// in time on an instance that was suspended as well.
package cataloger
