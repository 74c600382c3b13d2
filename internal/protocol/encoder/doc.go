// Package encoder encodes and decodes the messages that instances exchange.
//
// A message is an [Envelope] with the protocol version, the type name of the
// body, the ID of a request, the ID of the request that a reply answers, and the
// body. Bodies are CBOR maps with snake_case keys. A receiver ignores unknown
// fields and returns [ErrUnknownType] for unknown types and [ErrMalformedBody] for a
// known type with fields of other types, so that instances of adjacent releases are
// compatible during a rollout. A text may be any bytes, which are sent and decoded
// unchanged.
//
// Invariant: the size, nesting depth and number of elements that are decoded are
// limited.
package encoder
