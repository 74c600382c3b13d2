// Package logger writes log events as lines of key=value pairs without ever
// blocking the caller.
//
// Events pass through a bounded buffer to one task that formats and writes
// them. Each kind of event has a rate; what exceeds it, or finds the buffer
// full, is counted and reported by the event lines_dropped once a second, so
// that nothing vanishes unnoticed.
package logger
