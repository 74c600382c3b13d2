package runner

import (
	"encoding/json"
	"flag"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/configurer"
)

var _ = flag.Bool("update", false, "write the golden files of formats that have none")

// Guards against a message that the build before or after this one cannot read, or whose fields it drops.
func TestMessageFormats(t *testing.T) {
	archiver.CheckMessages(t, newEncoder(), nil)
}

// Guards against a message type that the build before sends and this one has dropped.
func TestMessagesOfEarlierBuildsAreKnown(t *testing.T) {
	archiver.CheckMessagesAreKnown(t, newEncoder())
}

// Guards against a text with some bytes that is refused or changed between two instances.
func TestTextsOfMessagesAreUnchanged(t *testing.T) {
	for _, text := range []string{"\xff", "a\x00\r\n\r", "\xed\xa0\x80", " \u0085\u00a0\t "} {
		archiver.CheckMessageTexts(t, newEncoder(), text)
	}
}

// FuzzMessage guards against a panic, an error that is not one of the encoder's, and a decoded body that cannot be sent.
func FuzzMessage(f *testing.F) {
	archiver.FuzzMessages(f, newEncoder())
}

// Guards against a record in the store that the build before or after this one cannot read, or whose fields it drops.
func TestRecordFormats(t *testing.T) {
	check[distributor.Head](t, "record-head")
	check[distributor.Record](t, "record-config_document")
	check[distributor.Roster](t, "record-roster")
	check[sharer.Ledger](t, "record-ledger")
	check[promoter.GroupRecord](t, "record-group")
	check[configurer.Document](t, "record-document")
}

func check[T any](t *testing.T, name string) {
	t.Helper()
	archiver.JSON[T](name, 1).Check(t, archiver.Sample(reflect.TypeFor[T](), "json"))
}

// FuzzRecord guards against a panic on a record that another build wrote, and against one that is decoded and cannot be written.
func FuzzRecord(f *testing.F) {
	for _, data := range archiver.Files(f, "^record-") {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, record := range []any{&distributor.Head{}, &distributor.Record{}, &distributor.Roster{}, &sharer.Ledger{}, &promoter.GroupRecord{}} {
			if json.Unmarshal(data, record) == nil {
				_, err := json.Marshal(record)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("%T", record))
			}
		}
	})
}
