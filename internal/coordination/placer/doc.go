// Package placer decides which backend server gets a statement.
//
// It judges a server by what the statements of this instance see: the time of
// its answers, the statements without an answer, the positions that it shows,
// and whether it led when it was asked to. What a server says of itself is a
// hint that is used until a statement tells more.
package placer
