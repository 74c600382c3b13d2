// Package sessioner serves the sessions of clients: it decides for each typed
// statement whether it may run, where it runs, whether it may be sent again,
// and what the client is told. It knows no wire format.
//
// Invariants:
//   - A read on a route to the primary runs inside a transaction that the
//     backend server opened as the leader, so that a server that has lost the
//     lead refuses it.
//   - Any other read carries the position that the log must hold.
//   - From the first byte of a write or commit that may have reached a backend
//     server, only its answer or an unknown outcome is reported.
//   - A connection to a backend server serves one session at a time and is
//     returned outside of any transaction.
package sessioner
