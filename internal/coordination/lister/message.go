package lister

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Role is the kind of process that an entry of the platform's list stands for.
type Role string

// Roles of entries.
const (
	RoleEntry   Role = "entry"   // An instance of the proxy.
	RoleBackend Role = "backend" // A backend server; the entry has its ID.
)

// State is the state of an entry. StateGone marks a removed entry and occurs only
// in a [FleetState].
type State string

// States of entries.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Entry is an instance or a backend server in the platform's list.
type Entry struct {
	ID         string                `cbor:"id"`
	Address    string                `cbor:"address"` // For an instance, its listen address for peers.
	DataCentre identifier.DataCentre `cbor:"data_centre"`
	Role       Role                  `cbor:"role"`
	State      State                 `cbor:"state"`
}

// Roster is the part of a data centre's roster that the view of the fleet holds.
type Roster struct {
	DataCentre identifier.DataCentre   `cbor:"data_centre"`
	Members    []identifier.InstanceID `cbor:"members"`
	Removals   uint64                  `cbor:"removals"`
}

// FleetRequest (message type fleet_ask) requests from a relay the changes since
// an earlier answer of the same relay process.
type FleetRequest struct {
	Origin   uint64 `cbor:"origin"`
	Revision uint64 `cbor:"revision"`
}

// FleetState (message type fleet_state) answers a [FleetRequest].
type FleetState struct {
	Origin   uint64        `cbor:"origin"`   // Random ID of the relay process; revisions of different origins are not comparable.
	Revision uint64        `cbor:"revision"` // Revision of the view after the answer is applied.
	Full     bool          `cbor:"full"`     // The answer is complete: entries that it does not contain no longer exist.
	Entries  []Entry       `cbor:"entries,omitempty"`
	Rosters  []Roster      `cbor:"rosters,omitempty"`
	Age      time.Duration `cbor:"age"` // Nanoseconds since the relay sent its last read of the platform.
}
