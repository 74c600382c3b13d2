package configurer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/configurer"
)

// Guards against a restriction in a document of a newer build that this one ignores.
func TestUnknownFieldsOfDocumentsAreRefused(t *testing.T) {
	_, err := configurer.Decode([]byte(`{"version":1,"newer_restriction":["a"]}`))
	qt.Assert(t, err, qt.ErrorMatches, ".*newer_restriction.*")
}
