package encoder_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/protocol/encoder"
)

type notice struct {
	Service string `cbor:"service"`
}

func ExampleEncoder() {
	var e encoder.Encoder
	e.Register("group_notice", notice{})
	data, _ := e.Encode(7, 0, notice{Service: "rentas-core-1"})
	envelope, body, err := e.Decode(data)
	fmt.Println(envelope.Type, envelope.ID, body, err)
	// Output: group_notice 7 {rentas-core-1} <nil>
}

// Guards against a link that fails because a newer release sends a message type
// or a field that is unknown in this release.
func TestDecodeAcceptsNewerMessages(t *testing.T) {
	var older, newer encoder.Encoder
	type newerNotice struct {
		Service string `cbor:"service"`
		Reason  string `cbor:"reason"`
	}
	older.Register("group_notice", notice{})
	newer.Register("group_notice", newerNotice{})
	newer.Register("unknown_type", struct{}{})

	data, err := newer.Encode(1, 0, newerNotice{Service: "a", Reason: "b"})
	qt.Assert(t, err, qt.IsNil)
	_, body, err := older.Decode(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, notice{Service: "a"})

	data, err = newer.Encode(9, 0, struct{}{})
	qt.Assert(t, err, qt.IsNil)
	envelope, _, err := older.Decode(data)
	qt.Assert(t, errors.Is(err, encoder.ErrUnknownType), qt.IsTrue)
	qt.Assert(t, envelope.ID, qt.Equals, uint64(9))
}

// Guards against a peer whose message makes an instance allocate an unlimited
// amount of memory.
func TestDecodeIsBounded(t *testing.T) {
	var e encoder.Encoder
	nested := []any{}
	for range 100 {
		nested = []any{nested}
	}
	body, err := cbor.Marshal(nested)
	qt.Assert(t, err, qt.IsNil)
	deep, err := cbor.Marshal(encoder.Envelope{Version: 1, Type: encoder.TypeHello, Body: body})
	qt.Assert(t, err, qt.IsNil)
	for name, data := range map[string][]byte{
		"too long":            make([]byte, encoder.MaxMessageBytes+1),
		"too deep":            deep,
		"huge declared array": {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"empty":               {},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := e.Decode(data)
			qt.Assert(t, errors.Is(err, encoder.ErrMalformed), qt.IsTrue)
		})
	}
}

// Guards against a text that makes a build which accepts UTF-8 alone end the connection,
// in place of refusing the message.
func TestBuildBeforeRefusesOnlyTheBody(t *testing.T) {
	var e encoder.Encoder
	e.Register("group_notice", notice{})
	data, err := e.Encode(7, 9, notice{Service: "a\xff"})
	qt.Assert(t, err, qt.IsNil)
	var envelope encoder.Envelope
	qt.Assert(t, cbor.Unmarshal(data, &envelope), qt.IsNil) // The default refuses texts that are not UTF-8.
	qt.Assert(t, envelope.ID, qt.Equals, uint64(7))
	qt.Assert(t, envelope.ReplyTo, qt.Equals, uint64(9))
	var body notice
	qt.Assert(t, cbor.Unmarshal(envelope.Body, &body), qt.ErrorMatches, ".*invalid UTF-8.*")
}

// FuzzDecode guards against a panic on untrusted bytes, and against an error that
// is neither ErrMalformed nor ErrUnknownType.
func FuzzDecode(f *testing.F) {
	var e encoder.Encoder
	e.Register("group_notice", notice{})
	data, _ := e.Encode(1, 0, notice{Service: "s"})
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, err := e.Decode(data)
		if err != nil && !errors.Is(err, encoder.ErrMalformed) && !errors.Is(err, encoder.ErrUnknownType) {
			t.Fatalf("error is neither ErrMalformed nor ErrUnknownType: %v", err)
		}
	})
}
