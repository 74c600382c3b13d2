// Package stager starts the real program as separate processes on loopback, with
// proxies in front of what they connect to, for experiments and for the soak. A
// process is signalled and ended by its id.
package stager
