package replacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a step-down taken as final although an unanswered promotion may make the old primary lead again.
func TestStepDownOfAServerWithAnOpenPromotionProvesNothing(t *testing.T) {
	for name, draining := range map[string]bool{"failed": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			s := newFakeService()
			s.silent["two"] = true
			s.stored = cataloger.Leadership{Server: "a", Term: 1, OpenPromotions: "a@5", Revision: cataloger.Revision{Number: 5}}
			s.known = s.stored
			r := s.replacer()
			r.LateLimit = time.Minute
			var steppedDown time.Duration
			stepDown := r.StepDown
			r.StepDown = func(b cataloger.BackendServer, term identifier.Term) (requester.ServerStatus, error) {
				steppedDown = r.Clock()
				return stepDown(b, term)
			}
			w := &serviceWatch{silentSince: silentLongEnough(), term: 1}
			if s.catalog.Servers["rentals"][0].Draining = draining; draining {
				s.lastLed = time.Now()
			} else {
				s.leader, s.received["a"], s.lagging = "", 1, true // It answers, and leads no more.
			}
			started := r.Clock()
			qt.Assert(t, s.check(r, w), qt.Contains, "grant c in term 2")
			qt.Assert(t, r.Clock()-started >= testValidity, qt.IsTrue)
			qt.Assert(t, steppedDown == 0 || steppedDown-started >= testValidity, qt.IsTrue)
		})
	}
}
