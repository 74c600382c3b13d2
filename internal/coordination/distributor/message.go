package distributor

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// ConfigState (message type config_state) pushes a head and the roster of the
// receiver's data centre. The answer is a [ConfigConfirmation]. With RecordName
// set it requests a part of a record instead, because a message holds about a
// megabyte, and the answer is a ConfigState with that part. With BaseName set
// as well the answer holds a delta, which keeps the traffic of a change to a
// large configuration small.
type ConfigState struct {
	Head       *Head   `cbor:"head,omitempty"`
	Roster     *Roster `cbor:"roster,omitempty"`
	RecordName string  `cbor:"want,omitempty"`   // Name of the requested record.
	BaseName   string  `cbor:"have,omitempty"`   // Name of a record to which the requester can apply a delta.
	Part       int     `cbor:"part,omitempty"`   // Number of the part, from 0.
	Record     []byte  `cbor:"record,omitempty"` // A part of the record, or with Delta the record without its document.
	Delta      []byte  `cbor:"delta,omitempty"`  // Merge patch to the document of BaseName.
}

// ConfigConfirmation (message type config_confirm) reports which head and
// roster an instance holds. The receiver of a request answers with its own
// ConfigConfirmation.
type ConfigConfirmation struct {
	Instance    identifier.InstanceID `cbor:"instance"`
	DataCentre  identifier.DataCentre `cbor:"data_centre"`
	Revision    uint64                `cbor:"revision"`        // Of the held head.
	Roster      uint64                `cbor:"roster"`          // Version of the held roster.
	Joined      bool                  `cbor:"joined"`          // A platform read since the start showed the instance in its roster.
	Established bool                  `cbor:"established"`     // A majority of the roster and of the previous one hold the roster.
	ReadAge     time.Duration         `cbor:"reading_age"`     // Time in ns since the last platform read was sent; negative without one.
	State       *ConfigState          `cbor:"state,omitempty"` // In an answer to an instance with an older head or roster.
}

// PreparedReport (message type prepared) requests an instance to push a
// proposal to its data centre. The answer lists the instances that hold it.
type PreparedReport struct {
	State       *ConfigState         `cbor:"state,omitempty"` // Only in the request.
	Holders     []ConfigConfirmation `cbor:"holders,omitempty"`
	Roster      uint64               `cbor:"roster"`
	Established bool                 `cbor:"established"`
	RosterAge   time.Duration        `cbor:"roster_age"` // In ns.
}
