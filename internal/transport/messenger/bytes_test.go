package messenger_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/transport/messenger"
)

// Guards against texts of clients and servers that are refused between instances because
// they are not UTF-8.
func TestTextsOfAnyBytesPassUnchanged(t *testing.T) {
	_, peer := start(t, "b", echo)
	a, _ := start(t, "a", echo)
	a.SetPeers([]messenger.Peer{peer})
	for _, text := range []string{"\xff", "a\x00\r\n\r", "\xc3", "\xed\xa0\x80", "\u0085\u00a0 \t", "\ufffd"} {
		got, err := a.Request(t.Context(), "b", question{text})
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q", text))
		qt.Check(t, got, qt.Equals, any(reply{text}), qt.Commentf("%q", text))
	}
	qt.Assert(t, a.Counters.MalformedBodies.Load(), qt.Equals, int64(0))
}
