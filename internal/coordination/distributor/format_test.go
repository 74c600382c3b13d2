package distributor

import (
	"flag"
	"reflect"
	"testing"

	"oleanderpulley/internal/bench/archiver"
)

var _ = flag.Bool("update", false, "write the golden files of formats that have none")

// Guards against a part of a record that the build before or after this one cannot read.
func TestRecordPartFormat(t *testing.T) {
	archiver.JSON[recordPart]("record_part", 1).Check(t, archiver.Sample(reflect.TypeFor[recordPart](), "json"))
}
