package encoder

import (
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/state/identifier"
)

// Version is the protocol version of the messages that this release sends.
const Version = 1

// Names of the message types that the transport itself uses.
const (
	TypeHello = "hello"
	TypeError = "error"
)

// Envelope is one message on a link between two instances.
type Envelope struct {
	Version uint64          `cbor:"v"`
	Type    string          `cbor:"type"`
	ID      uint64          `cbor:"id,omitempty"`       // Set on a request.
	ReplyTo uint64          `cbor:"reply_to,omitempty"` // ID of the request that this message answers.
	Body    cbor.RawMessage `cbor:"body"`
}

// Hello is the first message that each side sends on a link. It identifies the
// sender.
type Hello struct {
	Instance   identifier.InstanceID `cbor:"instance"`
	DataCentre identifier.DataCentre `cbor:"data_centre"`
}

// Error is the reply to a request that failed at the receiver.
type Error struct {
	Text string `cbor:"text"`
}
