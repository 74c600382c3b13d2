// Package player plays a day of load with faults against the real program: the
// instances run as processes, the store and the backend servers are the
// stand-ins of platform/imitator, and clients speak the line protocol.
//
// A day is a file of JSON with comments, see [Day]. Its seed decides the arrivals
// and what each of them does. Arrivals come whatever the answers take, and none
// is tried again, so that the report shows what the first try of a caller got.
//
// The report tells the measures of docs/MEASURES.md: reads on replicas, the gap of
// a failover, the worst-served workspace and wrongful refusals.
package player
