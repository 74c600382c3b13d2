package promoter

import "oleanderpulley/internal/state/identifier"

// GroupNotice (message type group_notice) queries whether a primary of the term
// or a later one has answered a query that the peer sent within the last second.
// With Opened set it notifies the peer instead that the term has a primary, so
// that the peer samples the group at once. The reply is a [GroupAnswer].
type GroupNotice struct {
	Service identifier.ServiceName `cbor:"service"`
	Term    identifier.Term        `cbor:"term"`
	Opened  bool                   `cbor:"opened,omitempty"`
}

// GroupAnswer (message type group_answer) is the reply to a [GroupNotice].
type GroupAnswer struct {
	Answered bool `cbor:"answered"` // The primary has answered the peer; false if Opened was set.
}
