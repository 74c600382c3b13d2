package messenger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a cost of pings that grows with the peers that an instance has
// used once, and against a link in use on which a silent peer is not noticed.
func TestPingsFollowUse(t *testing.T) {
	const period = 2 * time.Second
	for _, test := range []struct {
		name           string
		unused, silent time.Duration
		want           bool
	}{
		{"in use and answered", time.Second, time.Second, false},
		{"in use and silent", time.Second, 2 * time.Second, true},
		{"unused and silent", 5 * time.Second, 9 * time.Second, false},
		{"unused and silent for long", 5 * time.Second, 10 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, isPingDue(test.unused, test.silent, period), qt.Equals, test.want)
		})
	}
}
