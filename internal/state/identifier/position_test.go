package identifier_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

func ExampleParsePosition() {
	p, err := identifier.ParsePosition("7/4096")
	fmt.Println(p.Term, p.Offset, p, err)
	// Output: 7 4096 7/4096 <nil>
}

// Guards against a malformed position of a client being parsed as position zero.
// Every replica has reached position zero, so such a read would lose its session
// consistency.
func TestParsePositionRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"", "7", "7/", "/7", "-1/3", "7/4096x", "99999999999999999999/1"} {
		t.Run(text, func(t *testing.T) {
			_, err := identifier.ParsePosition(text)
			qt.Assert(t, errors.Is(err, identifier.ErrInvalidPosition), qt.IsTrue)
		})
	}
}
