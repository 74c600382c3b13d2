// Package backendserver imitates a PostgreSQL server that is a member of a
// replicated database group.
//
// It speaks version 3 of the PostgreSQL protocol over a small in-memory store.
// Uncommitted changes are invisible to other sessions, writers hold row locks
// until their transaction ends, and each commit appends one entry to a log
// whose positions are byte offsets. Replicas pull the log from the primary of
// their group: members of one process through a [Group], other members through
// the primary's SQL port. Terms, fencing and promotion follow section 5.1 of
// docs/design.md.
//
// Failures behave as those of a real server: a primary that is partitioned from
// its replicas continues to commit until it is fenced, and a primary that
// returns still considers itself the primary. Faults are injected with [Faults]
// and the methods Kill, Restart and HangOpenConnections.
package backendserver
