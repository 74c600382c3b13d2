// Package allotter divides the rate of each workspace over the instances.
//
// The owners of a workspace, all instances or a few for a small rate, each own
// an equal part of its rate and burst: an owner's bucket fills with that part
// alone. An instance that needs more asks owners, which take tokens out of their
// buckets and hand them over for good. A token
// that was handed over cannot be spent twice, and one that is lost with a
// message is never spent, so the sum over all instances stays within rate and
// burst through restarts, partitions and late messages, without clocks that
// agree.
package allotter
