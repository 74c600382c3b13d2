package stager_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/stager"
)

// Guards against two instances of one run that get the same port, so that one of
// them never becomes ready.
func TestFreeAddressIsGivenOutOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 150 {
		address, err := stager.FreeAddress()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("address %s", address))
		seen[address] = true
	}
}
