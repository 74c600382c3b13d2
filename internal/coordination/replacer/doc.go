// Package replacer performs failover: it replaces the primary of a database
// group that has failed or is draining.
//
// A replacement is announced in the leadership record of the service in the
// store, by a conditional write. The revision of the record is the fencing token
// of the promotion, so two holders never use the same token. The holder writes
// the record again with the successor before it requests the promotion, so that
// an instance that takes over continues with the same server: an unanswered
// request may still be executed.
//
// A promotion that was not answered is kept in the record as open until it cannot be
// executed any more. Where the platform does not check tokens, no other server is
// promoted until then: the late execution would replace it while it is in use.
//
// No instance uses the old primary any more when the promotion is requested:
// each has confirmed the announcement, or the old primary has stepped down, or
// the permits of package fencer have expired. An instance whose registration was
// removed just now may still hold a permit and counts as well.
//
// A failed primary is replaced when this instance could not reach it for a
// while, another instance and a server of the service answer, and no instance
// that answers has seen it lead. No other instance has to answer once the
// registration of the primary has lapsed. If the service replicates synchronously,
// the successor must have every acknowledged commit, so that a server that drains or
// is evacuated is promoted if it alone has them; it hands over like any primary that
// leaves. Which servers may have commits is kept in the store, since registrations lapse
// soon after a failure and an instance may have started after it. A server leaves that
// group only if it does not answer and enough others have all commits of the primary, or
// if another one has its address and log. A draining primary first steps down,
// and its successor must have received all of its log, so that no acknowledged
// commit is lost. So does the primary in an evacuated data centre while it
// answers; one that does not is replaced like a failed one.
package replacer
