package acceptor

import (
	"time"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// settings are the proxy settings requested by the client: by startup
// parameters, by SET, or for a single batch by hints in SQL comments.
type settings struct {
	route     string
	maxAge    time.Duration // 0 if not set.
	deadline  time.Duration // 0 means the default.
	requestID identifier.RequestID
}

const maxRequestIDLength = 200

// set applies a setting to the session. An empty value resets it.
func (s *session) set(name, value string) error {
	if name == "position" {
		return s.setPosition(value)
	}
	return s.settings.set(name, value)
}

func (st *settings) set(name, value string) error {
	switch name {
	case "route":
		st.route = value
	case "max_age":
		return setDuration(&st.maxAge, name, value)
	case "deadline":
		return setDuration(&st.deadline, name, value)
	case "request_id":
		if len(value) > maxRequestIDLength {
			return refuser.New(refuser.InvalidSetting, "request_id is longer than 200 bytes")
		}
		st.requestID = identifier.RequestID(value)
	default:
		return refuser.New(refuser.InvalidSetting, "unknown setting oleanderpulley."+name)
	}
	return nil
}

func setDuration(dst *time.Duration, name, value string) error {
	if value == "" {
		*dst = 0
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return refuser.New(refuser.InvalidSetting, name+" is not a positive duration with a unit")
	}
	*dst = d
	return nil
}

// setPosition raises the session's floor to a position that the client obtained
// on another connection. It never lowers the floor. An empty value clears the
// floor, which is safe: reads go to the primary until there is a new sample.
func (s *session) setPosition(value string) error {
	if value == "" {
		s.floor, s.floorKnown, s.writeTerm = identifier.Position{}, false, 0
		s.sampleAfter = s.acceptor.now()
		return nil
	}
	p, err := identifier.ParsePosition(value)
	if err != nil {
		return refuser.New(refuser.InvalidSetting, err.Error())
	}
	s.positionGiven = true
	if isLater(p, s.floor) {
		s.floor = p
	}
	// After a write by this session, the floor stays unknown until it is
	// sampled.
	s.floorKnown = s.floorKnown || s.writeTerm == 0
	return nil
}

func isLater(p, q identifier.Position) bool {
	return p.Term > q.Term || p.Term == q.Term && p.Offset > q.Offset
}

// applyHints returns st with the settings of the hints applied.
func (s *session) applyHints(hints []byte, st settings) (settings, error) {
	for len(hints) > 0 {
		name, value, rest := classifier.NextHint(hints)
		hints = rest
		if name == "" {
			continue
		}
		var err error
		if name == "position" {
			err = s.setPosition(value)
		} else {
			err = st.set(name, value)
		}
		if err != nil {
			return st, err
		}
	}
	return st, nil
}

// checkRoute returns a refusal if the session may not use the route.
func (s *session) checkRoute(v configurer.View, name string) error {
	if s.openRoute != "" && name != s.openRoute {
		return refuser.New(refuser.InvalidSetting, "a session without a key keeps its open route")
	}
	if name == "" {
		return nil
	}
	if r, ok := v.Route(name); !ok || r.Service != s.service {
		return refuser.New(refuser.InvalidSetting, "unknown route")
	}
	return nil
}
