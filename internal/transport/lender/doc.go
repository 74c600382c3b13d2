// Package lender keeps the connections to backend servers and lends them to
// sessions, one borrower at a time.
//
// A connection belongs to one workspace, because a backend server learns the
// workspace at the start of the connection only. The connections to one server
// stay below this instance's part of the server's limit; an idle connection of
// another workspace makes room for a new one.
//
// Invariants: a connection that lost an answer, or that a borrower gave up, is
// closed and never lent again; a connection is returned outside of any
// transaction.
package lender
