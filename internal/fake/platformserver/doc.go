// Package platformserver is a fake of the platform: an object store with
// conditional updates and watches, and an eventually consistent list of
// instances, served over HTTP with JSON bodies.
//
// Every change of any object increments one global revision counter; the
// version of an object is the revision of its last change. Deleted objects are
// kept as tombstones, so that watches report them. The package also injects the
// faults that a real platform shows; see [Faults].
package platformserver
