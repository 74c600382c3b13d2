// Package soaker runs the real program as separate processes on loopback
// against the stand-ins of platform/imitator, and injects faults from outside of
// them: signals, restarts, connections that are cut or go silent in a proxy, a
// store that turns calls away or loses answers, servers that fall silent or
// behind, promotions, and keys that are withdrawn.
//
// One seed gives one schedule of faults. Promises are checked from what callers
// were told and what the servers ran. Only processes that a run started are
// ended, by their ids.
package soaker
