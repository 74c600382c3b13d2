// Package sessioner serves client sessions. For each typed statement it decides
// whether the statement may run, which instance and backend server run it,
// whether it may be retried, and which result the client gets. It does not
// depend on a wire format.
//
// The homes of a workspace are the instances that keep connections to backend
// servers for it. Other instances forward the workspace's statements to a home.
//
// Invariants:
//   - A read on a primary-only route runs inside a transaction that the backend
//     server opened as the leader, so that a server that has lost leadership
//     refuses the read. The signed answer to the read shows that the transaction is
//     open; the answer to BEGIN alone may be that to an earlier one.
//   - Any other read carries the log position that the backend server must have
//     reached.
//   - Once a byte of a write or commit may have reached a backend server, the
//     client gets either that server's answer or an unknown outcome.
//   - A statement that the wire protocol cannot carry unchanged is refused before a byte
//     of it is sent.
//   - A connection to a backend server serves one session at a time and is
//     returned to the lender without an open transaction.
package sessioner
