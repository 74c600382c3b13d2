// Package pooler maintains a connection pool per backend server and database.
// A connection is used by one session at a time.
//
// Invariants: a connection that served another workspace is reset before it is
// reused. A connection with an unread or unexpected response, or for which a
// cancel request was sent, is closed and never reused. After a response that belongs
// to no statement, the other connections of its server are not reused for a while
// either, because a repeated response may arrive late. A client's key is never
// sent to a backend server: the proxy logs in with its own credentials.
package pooler
