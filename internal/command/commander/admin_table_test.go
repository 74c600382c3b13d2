package commander

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a text, such as the author of a change, that looks like further rows or
// controls the terminal.
func TestTextsOfTablesStayInTheirRow(t *testing.T) {
	var out bytes.Buffer
	err := printTable(&out, []byte(`{"author":"a\nversion  9","b":"\u001b[2J","c":"x\ty","d":"ana maría","e":"\u0085","f":7}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "author  \"a\\nversion  9\"\nb       \"\\x1b[2J\"\nc       \"x\\ty\"\nd       ana maría\ne       \"\\u0085\"\nf       7\n")
}
