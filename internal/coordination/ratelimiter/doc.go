// Package ratelimiter enforces the rate limits of workspaces over all instances
// with distributed token buckets.
//
// The owners of a workspace are all instances, or a few of them if its rate is
// small. Each owner holds an equal fraction of the rate and burst: its bucket
// refills from that fraction only. An instance that needs more requests tokens
// from owners, which remove them from their buckets and transfer them
// permanently. A transferred token cannot be spent twice, and one that is lost
// with a message is never spent. The total over all instances therefore stays
// within rate and burst through restarts, partitions and delayed messages,
// without synchronized clocks. The buckets of small rates hold a few tokens more
// than the burst together, so that each holds several whole tokens.
//
// An owner that has no token for a request answers with the time of the next one
// that it has not promised. Refused callers get these times, and the cause of the
// refusal.
package ratelimiter
