// Package requester defines typed statements of sessions and their typed results,
// independent of a wire format.
//
// A statement runs on at most one backend server at a time. Its result states
// what is known about the run: rows and a signature, a code which guarantees that
// no effect was kept, a code for a statement that ran and failed, or an unknown
// outcome.
package requester
