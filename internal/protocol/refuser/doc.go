// Package refuser defines the errors that are sent to PostgreSQL clients, with
// their SQLSTATE, message, severity and retry time.
//
// Invariants: an error whose message starts with "not run" is created only where
// no byte of the statement can have reached a backend server; an error never
// contains a key or a value of a statement.
package refuser
