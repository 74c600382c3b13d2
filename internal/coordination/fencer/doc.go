// Package fencer decides whether this instance may use the primary of a
// service.
//
// The permission is a lease. It is derived from the leadership record of the
// service in the store and from the proof of the catalog: an instance may use a
// primary while its proof is younger than a fixed validity and the newest record
// that it knows announces no replacement. An instance that replaces the primary
// first announces this in the record. The permission of every other instance has
// ended once that instance has confirmed the announcement over its link, or once
// the validity has passed since the announcement was acknowledged, because no
// proof without the announcement is younger. A backend server's own claim that
// it leads is never sufficient: a primary that was replaced may not know it yet.
//
// Terms: a [Permit] is the permission as of one moment, for one term of the
// record. An answer of a primary counts only if the permit under which its
// request was sent is still held when the answer arrives; then the request ran
// before any later promotion.
package fencer
