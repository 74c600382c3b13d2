package archiver

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/encoder"
)

// messagePattern matches the names of the golden files of messages.
const messagePattern = "^message-"

// CheckMessages checks the formats of all message types of the encoder. The versions are
// those above 1, by the name of the type.
func CheckMessages(t *testing.T, e *encoder.Encoder, versions map[string]int) {
	t.Helper()
	for name, body := range e.Types() {
		t.Run(name, func(t *testing.T) {
			messageFormat(e, name, versions[name]).Check(t, Sample(body, "cbor"))
		})
	}
}

// messageFormat returns the format of a message as it is sent: the envelope of a
// request that is a reply as well, with the body.
func messageFormat(e *encoder.Encoder, name string, version int) Format {
	return Format{
		Name: "message-" + name, Version: version,
		Write: func(body any) ([]byte, error) { return e.Encode(7, 9, body) },
		Read: func(data []byte) (any, error) {
			_, body, err := e.Decode(data)
			return body, err
		},
	}
}

// CheckMessagesAreKnown checks that the encoder decodes the messages of all golden files.
func CheckMessagesAreKnown(t *testing.T, e *encoder.Encoder) {
	t.Helper()
	for _, data := range Files(t, messagePattern) {
		_, _, err := e.Decode(data)
		qt.Assert(t, err, qt.IsNil)
	}
}

// FuzzMessages decodes messages that are derived from the golden files. It fails on a
// panic, an error that is not one of the encoder's, and a decoded body that cannot be sent.
func FuzzMessages(f *testing.F, e *encoder.Encoder) {
	f.Helper()
	for _, data := range Files(f, messagePattern) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, body, err := e.Decode(data)
		if err != nil {
			qt.Assert(t, errors.Is(err, encoder.ErrMalformed) || errors.Is(err, encoder.ErrUnknownType), qt.IsTrue, qt.Commentf("%v", err))
			return
		}
		_, err = e.Encode(1, 0, body)
		qt.Assert(t, err, qt.IsNil)
	})
}
