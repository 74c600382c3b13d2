package starter

import (
	"testing"

	"oleanderpulley/internal/bench/archiver"
)

// messageVersions are the versions of the message formats above 1. Version 2 of those with
// leadership records has the starts of terms and the promotions that were not answered.
var messageVersions = map[string]int{"catalog": 2, "era_reply": 2, "leadership": 2, "leadership_reply": 2}

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
