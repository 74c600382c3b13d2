// Package soaker implements the soak test. It runs instances of the built program
// as separate processes on loopback against the fakes of platform/imitator, and
// injects faults from outside of the processes: signals, restarts, connections
// that a proxy closes or whose data it discards, a store that refuses requests or
// loses answers, backend servers that are unresponsive, lag behind or answer twice,
// promotions, and withdrawn keys. Keys, databases, statements, session values, prepared
// shapes and rows hold characters that a reader may trim, split at or decode.
//
// With an older build, instances of two builds run side by side, and a [Schedule]
// changes them from one to the other one by one while the faults are injected.
//
// The seed determines the schedule of faults and the order of the instances. After a
// run, the promises of the proxy are checked by comparing the answers that clients
// received with the statements that the backend servers ran. A run ends only
// processes that it started, by their process ids.
package soaker
