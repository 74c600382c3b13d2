// Package assigner assigns workspaces to the instances that run their
// statements, separately for each service.
//
// A connection to a backend server belongs to one workspace, and a backend
// server accepts fewer connections than there are pairs of instance and
// workspace. The statements of a workspace therefore run on a few instances, its
// homes, which keep connections for it. The other instances forward statements
// to the nearest home. All instances compute the same homes from the catalog
// alone, by rendezvous hashing.
package assigner
