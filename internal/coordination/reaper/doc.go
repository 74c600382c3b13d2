// Package reaper removes the registrations of instances that have failed
// permanently.
//
// Entries in the store do not expire by themselves, and a registered instance
// owns fractions of rate limits and is a home of workspaces. Each instance
// monitors the two that succeed it in the order of ids, so that its cost does
// not grow with the number of instances. It removes one of them if it could not
// reach it for a while and a majority of the peers that it queries answer, none
// of which can reach it either. An instance that was removed by mistake
// registers again.
package reaper
