package starter

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/protocol/encoder"
)

// messageVersions are the versions of the message formats above 1. Version 2 of those with
// leadership records has the starts of terms and the promotions that were not answered.
var messageVersions = map[string]int{"catalog": 2, "era_reply": 2, "leadership": 2, "leadership_reply": 2}

// messageFormat returns the format of a message as it is sent: the envelope of a
// request that is a reply as well, with the body.
func messageFormat(e *encoder.Encoder, name string) archiver.Format {
	return archiver.Format{
		Name: "message-" + name, Version: messageVersions[name],
		Write: func(body any) ([]byte, error) { return e.Encode(7, 9, body) },
		Read: func(data []byte) (any, error) {
			_, body, err := e.Decode(data)
			return body, err
		},
	}
}

// Guards against a message that the build before or after this one cannot read, or whose fields it drops.
func TestMessageFormats(t *testing.T) {
	e := newEncoder()
	for name, body := range e.Types() {
		t.Run(name, func(t *testing.T) {
			messageFormat(e, name).Check(t, archiver.Sample(body, "cbor"))
		})
	}
}

// Guards against a message type that the build before sends and this one has dropped.
func TestMessagesOfEarlierBuildsAreKnown(t *testing.T) {
	e := newEncoder()
	for _, data := range archiver.Files(t, "^message-") {
		_, _, err := e.Decode(data)
		qt.Assert(t, err, qt.IsNil)
	}
}

// FuzzMessage guards against a panic, an error that is not one of the encoder's, and a decoded body that cannot be sent.
func FuzzMessage(f *testing.F) {
	for _, data := range archiver.Files(f, "^message-") {
		f.Add(data)
	}
	e := newEncoder()
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
