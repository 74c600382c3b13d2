// Package measurer measures the cost of an instance's control plane and fits a
// line to each cost, so that docs/CAPACITY.md can extrapolate to sizes that do
// not fit on one host.
//
// It also measures the proxy's policies by the figures that matter to users and
// operators, such as consistency violations, goodput and wrongful refusals. The
// load is open-loop: its arrival rate does not depend on the response times.
// Scenarios without and with faults are compared to baselines, which replace
// one policy of the same code by configuration. docs/MEASURES.md records the
// results.
//
// A slope is the cost of one more unit (a peer, a group, a workspace, a
// connection). Every slope is fitted to at least four sizes, and is reported
// with its standard error. All instances of a measurement run in one process
// together with the fake platform and the fake backend servers. Their cost is
// included, so the results are upper bounds.
package measurer
