// Package assigner assigns services to the instances that run their statements.
//
// A backend server accepts a limited number of connections from all instances
// together, fewer than there are instances in a large fleet. The statements of a
// service therefore run on a few instances in each data centre that has one of
// its servers. These are the homes of the service. The other instances forward
// statements to a home and open no connection of their own.
//
// All instances compute the same homes from the catalog alone, by rendezvous
// hashing: a change of the fleet moves only the homes that it concerns, and the
// homes of a service are computed without those of the others.
//
// The connections of a server are a budget. Each home has a share of it, which
// is larger at the servers of its own data centre. All shares together leave a
// reserve, so that the server's limit also holds while two instances know
// different fleets, and while the server still counts the connections of a
// process that is gone.
package assigner
