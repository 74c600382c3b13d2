// Package reaper removes the registrations of instances that have failed
// permanently.
//
// Entries in the store do not expire by themselves, and a registered instance
// owns fractions of rate limits and is a home of workspaces. Each instance
// monitors the two that succeed it in the order of ids, and the two that
// succeed it in the order of a hash of the ids. The ids of a data centre are
// often adjacent, so that the instances of one that is lost would otherwise be
// monitored by each other. As long as some of the monitored are unreachable, as
// many further ones in the order of the hash are monitored, up to a bound, so
// that the cost of an instance does not grow with the number of instances.
//
// An instance removes one of them if it could not reach it for a while and a
// majority of the peers that it queries answer, none of which can reach it
// either. The peers are in different data centres: with peers chosen from all
// instances, one that is cut off with its data centre would now and then query
// mostly peers of that data centre, and remove the instances of the others. An
// instance that was removed by mistake registers again.
//
// The monitoring by id is also that of earlier builds, so that each instance
// stays monitored while builds run side by side.
package reaper
