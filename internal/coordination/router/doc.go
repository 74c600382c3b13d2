// Package router chooses the backend server for a statement: the primary, a
// replica that covers the session's floor, or a replica that is predicted to
// cover it soon.
//
// The floor is the log position that a read of the session must include. It is
// unknown at the start of a session and after each of its writes. It becomes
// known with the first sample of the primary whose status query was sent after
// that moment.
//
// Invariants: the primary is chosen only while the instance holds the write
// right for its term (see package confirmer); a replica is chosen only if it
// covers the floor or its data are within the accepted age; a draining backend
// server is not chosen for a write, nor for a read that another one can serve; a
// backend server in an evacuated data centre is not chosen for a read, and for a
// write only while its successor takes over, at most for the grace period.
package router
