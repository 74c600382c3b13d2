// Package runner assembles one instance from its settings and runs it until it
// is drained or closed.
//
// Components start in the order of their dependencies: the links to peers, the
// instance list and the configuration first, then rate shares and database
// groups, and the listeners for metrics, operators and clients last. Close
// stops the listeners first and the connections to peers and the platform last.
// A drain ends client sessions before it hands the rate shares over to peers. It
// leaves the roster (the stored list of instances that may hold shares) last,
// because an instance may admit requests only while it is in the roster.
package runner
