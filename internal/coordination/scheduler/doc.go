// Package scheduler orders the statements that wait for a backend server and
// refuses those that it cannot serve in time.
//
// Each instance has one [Queue] per backend server. It selects the next statement
// in four steps:
//   - A query of the proxy itself is first. It is never refused by fairness.
//   - Of the priorities, the most urgent one is served, unless a less urgent one
//     has received less than [minShare] of the service since it waits.
//   - Of the workspaces of a priority, start-time fair queueing by service time
//     selects one: the workspace that has received the least service for its
//     weight, where time without waiting statements earns no credit.
//   - Of the statements of a workspace, the one with the earliest target is
//     served. Statements that can no longer meet their target are behind the
//     others.
//
// A queue has no goroutines, no locks and no clock; the caller passes the time.
// It decides only while statements wait. A caller with a free connection and an
// empty queue does not call it.
package scheduler
