// Package messenger carries typed messages between instances over WebSocket.
//
// A link is one WebSocket connection. The instance that dials it sends requests
// on it, and the peer sends its replies on the same connection. A link is dialled
// on first use and closed after [DefaultIdle] without a request, so that an
// instance keeps connections only to the peers that it exchanges messages with
// and not to all instances. A link whose peer does not answer pings is closed;
// the next request dials a new one.
//
// Invariants: each request gets at most one reply; the number of requests in
// flight on a link and the number of handlers running for a link are bounded.
package messenger
