package runner

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a grace period that starts anew when a proposal is accepted, that
// is granted to an instance that missed the acceptance, or that outlasts a loss of
// the configuration, and against missing log lines.
func TestEvacuationsFollowTheView(t *testing.T) {
	document := func(version identifier.ConfigVersion, evacuated ...identifier.DataCentre) *configurer.Document {
		return &configurer.Document{Version: version, EvacuatedDataCentres: evacuated, Services: map[identifier.ServiceName]configurer.Service{
			"s": {BackendServers: map[identifier.BackendServerID]configurer.BackendServer{"b1": {DataCentre: "a"}, "b2": {DataCentre: "b"}}},
		}}
	}
	var view configurer.View
	err := errors.New("not current")
	var log bytes.Buffer
	e := &evacuations{view: func() (configurer.View, error) { return view, err }, logger: zerolog.New(&log)}
	_, evacuated := e.since("b1")
	qt.Assert(t, evacuated, qt.IsFalse)

	v1, v2, v3, v4 := document(1), document(2, "a"), document(3, "a", "b"), document(4, "b")
	view, err = configurer.View{Accepted: v1}, nil
	_, evacuated = e.since("b1")
	qt.Assert(t, evacuated, qt.IsFalse)
	view.Proposed = v2
	began, evacuated := e.since("b1")
	qt.Assert(t, evacuated, qt.IsTrue)
	qt.Assert(t, time.Since(began) < time.Minute, qt.IsTrue)
	qt.Assert(t, e.mayUse("b1", true), qt.IsNil)
	qt.Assert(t, e.mayUse("b1", false), qt.ErrorMatches, "a: data centre is evacuated")
	qt.Assert(t, e.mayUse("b2", false), qt.IsNil)

	view = configurer.View{Accepted: v2}
	since, _ := e.since("b1")
	qt.Assert(t, since, qt.Equals, began)
	err = errors.New("not current")
	since, evacuated = e.since("b1")
	qt.Assert(t, evacuated, qt.IsTrue)
	qt.Assert(t, since, qt.Equals, began)

	view, err = configurer.View{Accepted: v3}, nil // The instance missed the proposal.
	since, evacuated = e.since("b2")
	qt.Assert(t, evacuated, qt.IsTrue)
	qt.Assert(t, since.IsZero(), qt.IsTrue)
	qt.Assert(t, e.mayUse("b2", true), qt.ErrorMatches, "b: data centre is evacuated")
	qt.Assert(t, e.current().refuses("s", "a"), qt.IsTrue)

	view.Proposed = v4 // Still evacuated until the return is accepted.
	_, evacuated = e.since("b1")
	qt.Assert(t, evacuated, qt.IsTrue)
	view = configurer.View{Accepted: v4}
	_, evacuated = e.since("b1")
	qt.Assert(t, evacuated, qt.IsFalse)
	qt.Assert(t, e.current().refuses("s", "b"), qt.IsFalse)
	var lines []string
	for line := range strings.Lines(log.String()) {
		lines = append(lines, strings.TrimSpace(strings.TrimPrefix(line, `{"level":"info","event":`)))
	}
	qt.Assert(t, lines, qt.DeepEquals, []string{
		`"evacuation_began","evacuated":"a","version":2,"proposed":true}`,
		`"evacuation_began","evacuated":"b","version":3,"proposed":false}`,
		`"evacuation_ended","evacuated":"a","version":4}`,
	})
}
