package reaper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/reaper"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

func ExampleFollowers() {
	fmt.Println(reaper.Followers("c", []identifier.InstanceID{"d", "a", "c", "b"}, 2))
	// Output: [d a]
}

// Guards against the removal of an instance that restarts, that others reach, or
// that cannot be reached because this one is cut off, and against one that is
// gone and keeps its parts of rates.
func TestLook(t *testing.T) {
	for name, test := range map[string]struct {
		downFor time.Duration
		answers reaper.Answers
		removed bool
	}{
		"gone":              {20 * time.Second, reaper.Answers{Asked: 3, Answered: 3}, true},
		"restarted":         {3 * time.Second, reaper.Answers{Asked: 3, Answered: 3}, false},
		"reached by others": {20 * time.Second, reaper.Answers{Asked: 3, Answered: 3, Reached: 1}, false},
		"cut off":           {20 * time.Second, reaper.Answers{Asked: 3, Answered: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start
			var removed []identifier.InstanceID
			r := &reaper.Reaper{
				Self: "a",
				Members: func() map[identifier.InstanceID]cataloger.Member {
					return map[identifier.InstanceID]cataloger.Member{"a": {ID: "a"}, "b": {ID: "b"}, "c": {ID: "c"}}
				},
				Connected: func(id identifier.InstanceID) bool {
					return id != "b" || now.Sub(start) >= test.downFor
				},
				Ask: func(context.Context, identifier.InstanceID) reaper.Answers { return test.answers },
				Remove: func(_ context.Context, m cataloger.Member) error {
					removed = append(removed, m.ID)
					return nil
				},
				Now: func() time.Time { return now },
			}
			for range 10 {
				r.Look(context.Background())
				now = now.Add(time.Second)
			}
			qt.Assert(t, len(removed) > 0, qt.Equals, test.removed)
		})
	}
}
