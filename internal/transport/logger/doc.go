// Package logger writes log events as lines of key=value pairs and never blocks
// the caller.
//
// Events pass through a bounded buffer to one goroutine that formats and writes
// them. Each kind of event has its own rate limit. Events over the limit, and
// events that arrive while the buffer is full, are dropped; their number by kind
// is logged in the event lines_dropped, at most once a second. Long texts are cut, see
// [Shortened].
package logger
