// Package balancer selects the backend server for a statement.
//
// It rates a server by what the statements of this instance observe: latency,
// statements without an answer, the log positions that the server reports, and
// whether it answered as the leader. What a server claims about itself is a hint
// that is used until a statement provides evidence.
package balancer
