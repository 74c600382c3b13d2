// Package lender is the pool of connections to backend servers. It lends each
// connection to one session at a time.
//
// A connection belongs to one workspace, because the workspace can be set only
// in the startup message to the backend server. The number of connections to a
// server stays within this instance's share of the server's limit. If the share
// is used up, an idle connection of another workspace is closed to make room for
// a new one.
//
// An answer does not say which statement it belongs to, and a backend server may send
// one twice. [Conn.Receive] tells answers apart by their signatures, rows and transaction
// states.
//
// Terms:
//   - A repeated answer was received before on the same connection. It is dropped.
//   - A connection is out of step when it has received an answer or data that belongs to
//     no outstanding statement.
//   - An ambiguous answer is that to its statement, or begins with rows of an earlier one.
//   - An answer without a name is an error or an unsigned success: nothing tells it from a
//     repeat of an equal one.
//
// Invariants: a connection on which an answer was lost, that is out of step, or that a
// borrower has marked as broken, is closed and never lent again; neither is, for a while
// after its server has sent an unexpected answer, one with answers without a name; one on
// which an error was received is not lent for a write; a connection with an open
// transaction is closed on return.
package lender
