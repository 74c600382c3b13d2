package starter

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/sessioner"
)

// messageVersions are the versions of the message formats above 1. Version 2 of those with
// leadership records has the starts of terms and the promotions that were not answered, version 3 the last token.
var messageVersions = map[string]int{"catalog": 3, "era_reply": 3, "leadership": 3, "leadership_reply": 3}

// Guards against a message that the build before or after this one cannot read, or whose fields it drops.
func TestMessageFormats(t *testing.T) {
	archiver.CheckMessages(t, newEncoder(), messageVersions)
}

// Guards against a message type that the build before sends and this one has dropped.
func TestMessagesOfEarlierBuildsAreKnown(t *testing.T) {
	archiver.CheckMessagesAreKnown(t, newEncoder())
}

// FuzzMessage guards against a panic, an error that is not one of the encoder's, and a decoded body that cannot be sent.
func FuzzMessage(f *testing.F) {
	archiver.FuzzMessages(f, newEncoder())
}

// catalogMessages have the entries of the store, whose texts are UTF-8.
var catalogMessages = []string{"catalog"}

// Guards against a statement, a row or a name with some bytes that is refused or changed
// between two instances.
func TestTextsOfMessagesAreUnchanged(t *testing.T) {
	for _, text := range []string{"\xff", "a\x00\r\n\r", "\xed\xa0\x80", " \u0085\u00a0\t "} {
		archiver.CheckMessageTexts(t, newEncoder(), text, catalogMessages...)
	}
	rapid.Check(t, func(r *rapid.T) {
		text := string(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(r, "text"))
		archiver.CheckMessageTexts(t, newEncoder(), text, catalogMessages...)
	})
}

// BenchmarkForwardMessages encodes and decodes the message that forwards a statement, and
// its reply.
func BenchmarkForwardMessages(b *testing.B) {
	e := newEncoder()
	for _, body := range []any{
		sessioner.ForwardRequest{
			Workspace: "shops", Database: "booking", Route: sessioner.ForwardedRoute{Service: "rentals", StatementTimeout: time.Second, TargetLatency: time.Second},
			Statement: requester.Statement{ID: "5c0e7a21d94b36f8", Kind: requester.Write, Text: "WRITE 1a4 xkqpwnzd"}, Writes: true,
		},
		sessioner.ForwardReply{Result: requester.Result{Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", State: requester.Idle}},
	} {
		b.Run(reflect.TypeOf(body).Name(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := e.Encode(1, 0, body)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := e.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
