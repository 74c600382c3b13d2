// Package tracker keeps an instance's view of each database group: the last
// status of every member, the history of terms, and samples of the primary's
// log position from which the age of a replica's data is computed.
//
// The timestamp of a sample is taken before its query is sent, so that a
// computed age is never too low.
//
// Invariants: a status of an older term never replaces the primary of a newer
// one; a member whose probe connection broke or whose process restarted has no
// known position until it answers again; an age is never measured from a time at
// which a newer term may already have been open.
package tracker
