// Package launcher runs a small installation in one process on loopback: fakes
// of the platform and of the backend servers, and instances of the proxy. The
// demo, end-to-end tests and benchmarks use it.
package launcher
