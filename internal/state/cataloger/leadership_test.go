package cataloger_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
)

// Guards against a position that instances of the build before read up to (STALE), and against their records being refused.
func TestLeadershipRecordHasNoPosition(t *testing.T) {
	earlier := `{"term":6,"server":"a","successor":"b","position":{"term":6,"offset":95},"holder":"one"}`
	var l cataloger.Leadership
	qt.Assert(t, json.Unmarshal([]byte(earlier), &l), qt.IsNil)
	qt.Assert(t, l, qt.Equals, cataloger.Leadership{Term: 6, Server: "a", Successor: "b", Holder: "one"})
	text, err := json.Marshal(l)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(text), qt.Equals, `{"term":6,"server":"a","successor":"b","holder":"one"}`)
}
