// Package dispatcher divides the connections and statement slots of each
// backend server fairly between workspaces.
//
// Each instance has one queue per backend server. The queue is a start-time
// fair queue in which every workspace is a flow: a statement is charged its
// service time divided by the workspace's weight, and the flow with the smallest
// start tag is served first. At most [DefaultQueueLimit] statements of a flow
// wait.
//
// Two limits bound the number of statements outstanding at a backend server.
// The budget is this instance's part of the server's connections. The window is
// the number of statements to keep outstanding on average. It begins at three
// quarters of this instance's part of the server's slots, grows while the
// latency shows an idle server, and shrinks by multiplicative decrease.
//
// The window is divided by max-min fairness over the flows' demands. A flow that
// demands less than its fair rate starts a statement at once while connections
// are free. A flow that demands several times its fair rate is heavy: the starts
// of heavy flows are paced to the part of the window that the other flows leave,
// and they leave one connection free. A limit on the number of outstanding
// statements alone would not protect the other flows: with 15 instances and 3
// slots, one statement of each instance is already five times too many.
//
// Invariants: a release is counted once; a cancelled statement leaves the queue
// before Acquire returns; one release starts at most as many waiting statements
// as it makes room for. The package starts no goroutine except for the timer
// that starts paced statements.
package dispatcher
