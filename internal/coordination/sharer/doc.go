// Package sharer enforces each workspace's rate and burst over the whole fleet
// (guarantee G7) without a call to the platform for each request.
//
// Each instance holds a share of a workspace: a fraction of the limit and the
// tokens in that fraction's bucket (see package limiter). An instance that is
// short of tokens, the requester, requests part of the share of a peer, the
// grantor. The grantor subtracts the granted share before it answers. The
// requester adds a grant once, while the request is pending, and only if both
// are in the same epoch. If an answer is lost, the request is repeated with the
// same id and gets the same grant, so the share arrives late but is never
// granted twice.
//
// A requester finds peers from two sources: earlier grants, which name other
// holders, and the trackers of the workspace, to which holders report. A
// workspace has one tracker in each data centre and one for the fleet, chosen
// by rendezvous hashing. So an instance exchanges messages about a workspace
// with a bounded number of peers, whatever the size of the fleet.
//
// Workspaces are divided into ledger shards, and the platform's ledger records
// an epoch for each shard. The instance that ranks first for a shard is its
// leader. The leader opens a new epoch when a member was removed, a workspace
// is new, or an audit is due. It asks all members to enter the epoch and to
// report what they held at that moment. It then waits until all have answered
// and until the proofs of removed members have expired, so that these admit
// nothing any more. Finally it records in the ledger that the missing fractions
// are issued, and adds them to its own share with empty buckets.
//
// # Why fractions never sum to more than 1
//
// Within an epoch shares only move between instances, and a member's report
// states what it held when it entered. A share that is in transfer when its
// receiver enters is in no report and is rejected on arrival, so it counts as
// missing and is issued again. A joining instance reads the ledger after it has
// joined, and the leader reads the rosters after it has opened the epoch. So
// the joining instance is either asked for a report or starts in the new epoch
// with nothing. A removed instance admits nothing once its proof has expired,
// and calls [Sharer.Reset] before it joins again.
package sharer
