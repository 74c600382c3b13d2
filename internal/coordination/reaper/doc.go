// Package reaper removes the registrations of instances that are gone for good.
//
// Nothing in the store expires by itself, and an instance that is registered
// owns parts of rates and is a home of workspaces. Each instance watches the two
// that follow it in the order of ids, so that the cost does not grow with the
// fleet. One is removed when it could not be reached for a while, and the peers
// that are asked answer and have not reached it either. An instance that was
// removed by mistake registers again.
package reaper
