package starter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a suspension of the host that no log line shows, and against
// lines about a process that was only paused.
func TestSuspensionIsDetected(t *testing.T) {
	var d suspensionDetector
	steady := time.Now()
	qt.Assert(t, d.observe(time.Hour, steady), qt.Equals, time.Duration(0))
	steady = steady.Add(3 * time.Second) // Paused: both clocks run on.
	qt.Assert(t, d.observe(time.Hour+3*time.Second, steady), qt.Equals, time.Duration(0))
	steady = steady.Add(time.Second)
	qt.Assert(t, d.observe(time.Hour+9*time.Second, steady), qt.Equals, 5*time.Second)
}
