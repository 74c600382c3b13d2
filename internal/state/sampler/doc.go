// Package sampler keeps samples of the log positions that primaries reported and
// derives the minimum position, the floor, that a replica must have applied for
// a read.
//
// A sample states that the backend server led when it reported the position, and
// when the request for it was sent. The position covers every commit that was
// acknowledged before that time. A position from an older term is not used as a
// floor once a newer term is known, because a promotion may have discarded the
// tail of the older term.
package sampler
