package cataloger_test

import (
	"flag"
	"fmt"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/bench/archiver"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var _ = flag.Bool("update", false, "write the golden files of formats that have none")

func sampleUpdate() *cataloger.Update {
	return &cataloger.Update{
		Catalog: archiver.Sample(reflect.TypeFor[*cataloger.Catalog](), "cbor").(*cataloger.Catalog),
		Change:  archiver.Sample(reflect.TypeFor[*cataloger.Change](), "cbor").(*cataloger.Change),
	}
}

// Guards against an update of the catalog that the build before or after this one cannot read, or whose fields it drops.
func TestUpdateFormat(t *testing.T) {
	updateFormat("update", false).Check(t, sampleUpdate())
}

// Guards against a compressed update that the build before or after this one cannot read.
func TestCompressedUpdateFormat(t *testing.T) {
	u := sampleUpdate()
	for i := range 200 {
		u.Change.RemovedInstances = append(u.Change.RemovedInstances, identifier.InstanceID(fmt.Sprint("instance-that-left-", i)))
	}
	updateFormat("update_compressed", true).Check(t, u)
}

func updateFormat(name string, unstable bool) archiver.Format {
	return archiver.Format{
		Name: name, Version: 3, Unstable: unstable, // Leadership records have two more fields in version 2 and one in version 3.
		Write: cbor.Marshal,
		Read: func(data []byte) (any, error) {
			u := &cataloger.Update{}
			err := cbor.Unmarshal(data, u)
			return u, err
		},
	}
}

// FuzzUpdate guards against a panic on an update of another instance, and against one that is decoded and cannot be written.
func FuzzUpdate(f *testing.F) {
	for _, data := range archiver.Files(f, "^update") {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u cataloger.Update
		if u.UnmarshalCBOR(data) == nil {
			_, err := u.MarshalCBOR()
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
