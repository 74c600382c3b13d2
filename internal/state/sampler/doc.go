// Package sampler keeps samples of the log positions that primaries showed and
// derives the position that a read must find on a replica.
//
// A sample says: the backend server led when it showed the position, and the
// question was sent at the sample's time. It covers every commit acknowledged
// before that time. A position of an older term is no floor once a newer term
// is known, because a promotion may have discarded the tail of the older term.
package sampler
