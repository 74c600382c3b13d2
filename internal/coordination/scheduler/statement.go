package scheduler

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Statement is a statement that waits in a [Queue] or was started by it. It must
// not be copied once it was passed to the queue.
type Statement struct {
	Workspace identifier.WorkspaceName
	Priority  int       // 0 is the most urgent.
	Target    time.Time // When the statement should be answered; zero means at the deadline.
	Deadline  time.Time // Until when the statement may start.
	Slotless  bool      // Is not subject to the limit of concurrent statements, such as a transaction.
	Exempt    bool      // A query of the proxy itself, which is never refused by fairness.
	Owner     any       // Is not used by the queue.

	flow      *flow
	sequence  uint64 // Order of arrival.
	late      bool   // Can no longer meet its target.
	waiting   bool
	index     int           // Position in the heap of the flow.
	charged   time.Duration // Service time that was charged at the start.
	startedAt time.Time
}

// isStarted reports whether the statement was started and has not ended.
func (s *Statement) isStarted() bool {
	return !s.Exempt && !s.startedAt.IsZero()
}

// target returns when the statement should be answered.
func (s *Statement) target() time.Time {
	if s.Target.IsZero() {
		return s.Deadline
	}
	return s.Target
}

// isBefore reports whether the statement is served before another one of its
// workspace and priority.
func (s *Statement) isBefore(other *Statement) bool {
	if s.late != other.late {
		return other.late
	}
	if a, b := s.target(), other.target(); !a.Equal(b) {
		return a.Before(b)
	}
	return s.sequence < other.sequence
}

// kind distinguishes statements by what they need to start.
type kind int

const (
	slotted  kind = iota // A connection and a slot.
	slotless             // A connection.
	kindCount
)

func (s *Statement) kind() kind {
	if s.Slotless {
		return slotless
	}
	return slotted
}

func (s *Statement) setIndex(i int) { s.index = i }
