// Package connector connects clients and servers of one process through pipes
// instead of sockets.
//
// A goroutine that waits for a pipe is durably blocked in the sense of package
// testing/synctest, one that waits for a socket is not. A test that connects its
// servers with a [Network] can therefore run in a bubble with a simulated clock.
// Unlike a socket, a pipe buffers nothing: a write waits until the other end reads.
package connector
