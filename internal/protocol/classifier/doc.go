// Package classifier determines from the text of an SQL statement whether it
// reads or writes, whether it begins or ends a transaction, and whether it
// creates session state on its connection. It also extracts the routing hints of
// a leading comment such as "/* oleanderpulley: route=catalogue, max_age=2s */", and
// determines the number of the statements and the command tags of their responses.
//
// Invariant: a statement that is not known to be read-only is a write, because
// a write classified as a read would run without a check of the write right.
// A call of a function that is not listed as read-only is therefore a write.
package classifier
