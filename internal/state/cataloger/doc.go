// Package cataloger holds an instance's copy of the configuration, the backend
// servers and the members, and the proof of how current that copy is.
//
// A [Catalog] is immutable. A proof is the time at which the instance sent a
// request that the store answered: the catalog contains every change that was
// acknowledged before that time. The clock of proofs includes the time for
// which the host is suspended, because a withdrawn key must stop working in
// time on an instance that was suspended as well.
package cataloger
