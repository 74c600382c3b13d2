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

func ExampleSuccessors() {
	fmt.Println(reaper.Successors("c", []identifier.InstanceID{"d", "a", "c", "b"}, 2))
	// Output: [d a]
}

func ExampleHashSuccessors() {
	fmt.Println(reaper.HashSuccessors("c", []identifier.InstanceID{"d", "a", "c", "b"}, 2))
	// Output: [a d]
}

// Guards against the removal of an instance that restarts, that peers can reach,
// or that cannot be reached because the monitoring instance is partitioned, and
// against a failed instance that keeps its fractions of rate limits.
func TestCheckSuccessors(t *testing.T) {
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
				Members: func() map[identifier.InstanceID]cataloger.Instance {
					return map[identifier.InstanceID]cataloger.Instance{"a": {ID: "a"}, "b": {ID: "b"}, "c": {ID: "c"}}
				},
				Connected: func(id identifier.InstanceID) bool {
					return id != "b" || now.Sub(start) >= test.downFor
				},
				Ask: func(context.Context, identifier.InstanceID, []identifier.InstanceID) reaper.Answers {
					return test.answers
				},
				Remove: func(_ context.Context, m cataloger.Instance) error {
					removed = append(removed, m.ID)
					return nil
				},
				Now: func() time.Time { return now },
			}
			for range 10 {
				r.CheckSuccessors(context.Background())
				now = now.Add(time.Second)
			}
			qt.Assert(t, len(removed) > 0, qt.Equals, test.removed)
		})
	}
}
