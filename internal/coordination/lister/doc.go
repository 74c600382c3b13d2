// Package lister maintains an instance's view of the fleet: the platform's list
// of live and leaving instances and backend servers, and the rosters of all data
// centres.
//
// Relays of a data centre poll the platform every second. The other instances
// request from a relay the changes since its last answer, so that the load on
// the platform grows with the number of data centres, and an interval without
// changes costs a message of a few dozen bytes.
//
// The view is a hint. The list lags, so nothing that must be exclusive or
// complete is decided on it alone: acceptance of a configuration and epochs of
// the rate ledger read the rosters from the platform.
//
// Invariant: a failed read changes nothing. An instance that cannot reach the
// platform or a relay keeps its view.
package lister
