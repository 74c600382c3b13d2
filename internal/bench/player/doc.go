// Package player runs a load test with faults, called a day, against the built
// program. The instances run as separate processes, the store and the backend
// servers are the fakes of platform/imitator, and clients speak the line protocol.
//
// A day is described by a file of JSON with comments, see [Day]. The seed determines
// the arrival times and the kinds of the requests. The load is open-loop: requests
// arrive independently of earlier answers, and none is retried, so that the report
// shows the results of first attempts.
//
// The report has the measures of docs/MEASURES.md: the share of reads on replicas,
// the longest gap in writes during a failover, the worst-served workspace and the
// wrongful refusals.
package player
