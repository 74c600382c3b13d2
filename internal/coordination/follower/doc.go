// Package follower keeps an instance's catalog in step with the store and
// proves how fresh it is.
//
// Each round asks the store for its revision in a linearizable call. If nothing
// has changed, the catalog is proven as of the time at which the question was
// sent; otherwise the lists are read again. A waiting watch proves nothing while
// it is quiet, so none is used.
package follower
