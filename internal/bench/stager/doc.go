// Package stager starts instances of the built program as separate processes on
// loopback, and TCP proxies that inject network faults between them and what they
// connect to. Load tests and the soak test use it. Processes are signalled and
// killed only by their process id.
package stager
