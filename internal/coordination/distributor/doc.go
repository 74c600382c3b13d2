// Package distributor activates one configuration on all instances
// (docs/design.md, 5.6).
//
// The head is the object config/head of the platform: the accepted version and
// at most one open proposal. Its revision is the platform's version of the
// object and orders all heads. A record is a stored document with its author,
// time and predecessor. The roster of a data centre lists the instances that
// count towards its majorities. An instance adopts a head or a roster when it
// replaces its own copy with it, and from then on holds it. An instance is
// current while it may serve, and prepared for a proposal once it holds it. A
// proposal is settled once it is accepted or withdrawn. A roster is established
// once a majority of its members and a majority of the previous roster hold it.
// The relays of a data centre are the members that read and watch the platform
// for it and push changes to the others.
//
// Invariants:
//   - An instance adopts a head only together with its documents, and never one
//     older than the head that it holds.
//   - An instance that holds a roster also holds a head that was read after that
//     roster was read. Rosters are therefore always sent together with a head.
//   - An instance confirms its roster only after it has read the platform itself
//     since its start, because a restart loses the proposals that it had
//     prepared.
//   - A roster changes only when it is established. At most the last two rosters
//     can therefore each have a majority that confirms itself, and an acceptance
//     counts both.
package distributor
