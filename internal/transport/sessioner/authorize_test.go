package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a key that an old catalog accepts under the proof of a newer one, which is set in between (CONFIG).
func TestWithdrawnKeyIsNotAcceptedUnderALaterProof(t *testing.T) {
	s, _ := newTestServer()
	route := cataloger.Route{Service: "rentals"}
	old := *s.Holder.Catalog()
	old.Configuration = &cataloger.Configuration{
		Routes: map[string]cataloger.Route{"booking": route}, Keys: map[string]identifier.WorkspaceName{"key-1": "shops"},
	}
	withdrawn := old
	withdrawn.Configuration = &cataloger.Configuration{Routes: old.Configuration.Routes}
	s.Holder.Replace(&old)
	clock := s.Holder.Clock()
	s.Holder.Now = func() time.Duration {
		s.Holder.Replace(&withdrawn) // Another goroutine reads the store at this moment.
		return clock
	}
	n := &session{server: s, database: "booking", key: "key-1"}
	_, refusal := n.authorize()
	qt.Assert(t, refusal.Code, qt.Equals, requester.NoAccess)
}
