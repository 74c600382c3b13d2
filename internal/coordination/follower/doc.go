// Package follower keeps an instance's catalog consistent with the store and
// proves how recent it is.
//
// Each round queries the store's revision in a linearizable call. If the
// revision is unchanged, the catalog is proven as of the time at which the query
// was sent; otherwise the lists are read again. Rounds poll instead of watching,
// because a watch without events does not prove that nothing has changed.
package follower
