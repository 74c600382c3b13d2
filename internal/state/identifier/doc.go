// Package identifier defines the distinct types for identifiers and log positions
// that all packages share, so that the compiler rejects, for example, a service
// name that is passed where a workspace name is expected.
//
// A database group consists of the backend servers that replicate one database.
// A term is the period in which one of them is the primary; terms are numbered.
// A log offset counts the bytes of the group's log. A [Position] consists of
// both. Offsets of different terms cannot be compared by number alone, because a
// new term may discard the end of the log of the previous term.
package identifier
