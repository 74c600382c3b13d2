package encoder

import (
	"maps"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of a received message.
const (
	// MaxMessageBytes allows for a part of a configuration document of one
	// megabyte and 64 KiB for the rest of the message.
	MaxMessageBytes = 1<<20 + 64<<10
	maxNestedLevels = 16
	maxElements     = 1 << 17
)

// Errors returned by [Encoder.Encode] and [Encoder.Decode].
var (
	ErrUnknownType = errors.New("message type is not known")
	ErrMalformed   = errors.New("message is malformed")
	// ErrMalformedBody is an [ErrMalformed] of a message whose envelope was decoded.
	// Another build may send a field with another type.
	ErrMalformedBody = errors.WithMessage(ErrMalformed, "body")
)

// Encoder encodes message bodies into envelopes and decodes them. The transport's
// own types, [Hello] and [Error], are registered in the zero value. All other
// types must be registered before the first use; after that an Encoder is safe
// for concurrent use.
type Encoder struct {
	types     map[string]reflect.Type
	typeNames map[reflect.Type]string
	decode    cbor.DecMode
}

// Register registers the type of the value zero under the given name.
func (e *Encoder) Register(name string, zero any) {
	e.init()
	e.registerType(name, zero)
}

// Types returns the registered types by their names.
func (e *Encoder) Types() map[string]reflect.Type {
	e.init()
	return maps.Clone(e.types)
}

// Encode returns the encoded message with the given body. The ID is 0 unless the
// message is a request, and replyTo is 0 unless it is a reply. Encode returns
// [ErrUnknownType] for a body whose type is not registered.
func (e *Encoder) Encode(id, replyTo uint64, body any) ([]byte, error) {
	e.init()
	name, ok := e.typeNames[reflect.TypeOf(body)]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownType, "%T", body)
	}
	encodedBody, err := cbor.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encoding %s", name)
	}
	data, err := cbor.Marshal(Envelope{Version: Version, Type: name, ID: id, ReplyTo: replyTo, Body: encodedBody})
	return data, errors.Wrapf(err, "encoding %s", name)
}

// Decode returns the envelope of a message and its body as a value of the
// registered type. For an unknown type it returns the envelope and
// [ErrUnknownType], and for a body that cannot be decoded the envelope and
// [ErrMalformedBody]. For other data that cannot be decoded it returns [ErrMalformed].
func (e *Encoder) Decode(data []byte) (Envelope, any, error) {
	e.init()
	var envelope Envelope
	if len(data) > MaxMessageBytes {
		return envelope, nil, errors.Wrapf(ErrMalformed, "%d bytes exceed %d", len(data), MaxMessageBytes)
	}
	if err := e.decode.Unmarshal(data, &envelope); err != nil {
		return envelope, nil, errors.Wrapf(ErrMalformed, "envelope: %v", err)
	}
	t, ok := e.types[envelope.Type]
	if !ok {
		return envelope, nil, errors.Wrapf(ErrUnknownType, "%.40q", envelope.Type)
	}
	value := reflect.New(t)
	if err := e.decode.Unmarshal(envelope.Body, value.Interface()); err != nil {
		return envelope, nil, errors.Wrapf(ErrMalformedBody, "%s: %v", envelope.Type, err)
	}
	return envelope, value.Elem().Interface(), nil
}

func (e *Encoder) init() {
	if e.types != nil {
		return
	}
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		UTF8:             cbor.UTF8DecodeInvalid, // Texts of clients and servers are any bytes.
	}.DecMode()
	if err != nil {
		panic(err) // Unreachable: the options are constants.
	}
	e.decode = mode
	e.types = map[string]reflect.Type{}
	e.typeNames = map[reflect.Type]string{}
	e.registerType(TypeHello, Hello{})
	e.registerType(TypeError, Error{})
}

func (e *Encoder) registerType(name string, zero any) {
	t := reflect.TypeOf(zero)
	e.types[name] = t
	e.typeNames[t] = name
}
