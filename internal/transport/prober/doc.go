// Package prober queries the status of the members of replication groups and
// runs the administrative statements of a failover.
//
// One goroutine per member holds one connection. The members of a group in use
// are sampled periodically and on demand. A group that is not in use is not
// sampled, and its connections are closed after a while, so that the cost is
// proportional to the number of groups in use.
//
// A member is suspected of having failed after several failed connection attempts
// in a row, or when a status query on a new connection was not answered within
// two seconds. A missing answer on an open connection is no evidence that the
// member has failed: the query is repeated on a new connection, and the old one
// is closed unless it answers first.
//
// Invariants: the time recorded with a status is not later than the moment its
// query was sent; a member has at most one status query in flight, or two while
// an unanswered one is repeated; a status is never taken for the answer to a later
// query on its connection, even if the member sends it twice.
package prober
