package sharer

import (
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// ShareRequest requests part of a peer's share of a workspace (message type
// share_request). The answer is a [ShareGrant].
type ShareRequest struct {
	ID         uint64                   `cbor:"id"`      // Unique for the sender; a repetition keeps it.
	AckedBelow uint64                   `cbor:"settled"` // The sender waits for no answer with a lower id.
	Epoch      uint64                   `cbor:"epoch"`
	Workspace  identifier.WorkspaceName `cbor:"workspace"`
	Held       limiter.Fraction         `cbor:"held"`   // The sender's fraction.
	Demand     float64                  `cbor:"demand"` // Tokens a second requested of the sender by clients.
	Load       float64                  `cbor:"load"`   // The same plus what peers asked to borrow from the sender.
	// Shortfall is the number of tokens that the sender's waiting requests
	// lack.
	Shortfall float64 `cbor:"spend,omitempty"`
}

// ShareGrant answers a [ShareRequest] (message type share_grant). The grantor
// has already subtracted the share.
type ShareGrant struct {
	ID    uint64        `cbor:"id"`
	Epoch uint64        `cbor:"epoch"`
	Share limiter.Share `cbor:"share"`
	// Loan is the number of tokens lent to the waiting requests. It expires
	// loanPeriod after the first sending of the request.
	Loan      float64       `cbor:"spend,omitempty"`
	Remaining limiter.Share `cbor:"left"`              // What the grantor still holds.
	Holders   []Holder      `cbor:"holders,omitempty"` // Other instances that may hold more.
}

// Holder is the share that an instance was last known to hold.
type Holder struct {
	Instance   identifier.InstanceID `cbor:"instance"`
	DataCentre identifier.DataCentre `cbor:"data_centre"`
	Share      limiter.Share         `cbor:"share"`
	AgeMS      int64                 `cbor:"age_ms,omitempty"` // Time since the holder reported it.
}

// ShareReport states what the sender holds (message type share_report). As the
// answer to an [EpochEnter] it lists all holdings of the shard at the time of
// entry. Otherwise it lists only those that changed.
type ShareReport struct {
	Shard    int                                        `cbor:"shard"`
	Epoch    uint64                                     `cbor:"epoch"`
	Offered  bool                                       `cbor:"offered,omitempty"` // The receiver is asked to take over the holdings.
	Holdings map[identifier.WorkspaceName]limiter.Share `cbor:"holdings"`
	// Others passes on the largest other holder in the sender's records.
	Others map[identifier.WorkspaceName]Holder `cbor:"others,omitempty"`
}

// EpochEnter asks an instance to enter an epoch of a ledger shard and to report
// what it holds (message type epoch_enter). The answer is a [ShareReport].
type EpochEnter struct {
	Shard int    `cbor:"shard"`
	Epoch uint64 `cbor:"epoch"`
}
