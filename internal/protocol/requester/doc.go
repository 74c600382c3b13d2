// Package requester defines the typed statements that a session asks for and
// the typed results that answer them, without a wire format.
//
// A statement runs on at most one backend server at a time. Its result says
// what is known of the run: rows and a signature, a code that promises that
// nothing was kept, a code for a statement that ran and failed, or an unknown
// outcome.
package requester
