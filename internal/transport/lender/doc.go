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
// one twice. [Conn.Receive] tells answers apart by their signatures and transaction
// states.
//
// Invariants: a connection on which an answer was lost, or that a borrower has
// marked as broken, is closed and never lent again; a connection is returned
// without an open transaction.
package lender
