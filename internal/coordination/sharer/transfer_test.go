package sharer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// Guards against a crash when a requester leaves the fleet while its request is
// being answered.
func TestRecordGrantAfterPurge(t *testing.T) {
	var tr transfers
	_, done := tr.previousGrant("dc0-1", ShareRequest{ID: 3})
	qt.Assert(t, done, qt.IsFalse)
	tr.purge(func(identifier.InstanceID) bool { return false })
	tr.recordGrant("dc0-1", 0, ShareGrant{ID: 3})
	_, done = tr.previousGrant("dc0-1", ShareRequest{ID: 3})
	qt.Assert(t, done, qt.IsTrue)
}
