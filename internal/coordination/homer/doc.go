// Package homer decides which instances run the statements of a workspace for a
// service.
//
// A connection to a backend server belongs to one workspace, and a backend
// server takes fewer connections than there are pairs of instance and
// workspace. The statements of a workspace therefore run at a few instances, its
// homes, which keep connections for it; the others forward to the nearest one.
// All instances derive the same homes from the catalog alone.
package homer
