// Package acceptor serves client connections: startup and authentication,
// sessions with read-your-writes consistency, and the forwarding of statements
// over connections borrowed from the pooler.
//
// Terms:
//   - A batch is what a client sends up to and including a simple query, a Sync
//     or a Flush. It is read completely, classified, routed and sent, and its
//     response is streamed back.
//   - A lease is a borrowed backend connection. It is held for a batch, for a
//     transaction, or, once the session is pinned, until the session ends. A
//     session is pinned when it has changed state of its connection.
//   - A sample is a query for the current log position of the primary.
//   - The floor of a session is the log position that a server must have applied
//     to serve the session's reads.
//   - The write right is the instance's proof that a server is still the primary
//     of a term.
//   - A proxy statement is a statement that the proxy answers itself.
//   - A refusal is an error that the proxy generates.
//   - An unexpected response has a message that cannot be part of the response to the
//     statement that was sent, or arrives while no response is outstanding.
//
// Invariants: the write right is checked before a batch is sent to a primary,
// again before the first byte of its response is forwarded, and again after the
// response to a write or commit is complete and before its end is forwarded.
// Once a byte of a batch that may write has been sent, the client receives
// either the result or "outcome unknown". A connection with an unexpected response
// is closed. The key is checked again at the start of each batch.
package acceptor
