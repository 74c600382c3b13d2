package sessioner

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// ownCommits holds the newest commit of a session at each service that it has
// written to. The route of a session may move from one service to another and
// back, and a log position says nothing about the log of another service. The zero
// value holds none.
type ownCommits []ownCommit

// ownCommit is the newest commit of a session at one service.
type ownCommit struct {
	service  identifier.ServiceName
	position identifier.Position
	sentAt   time.Time // When the request was sent to which a primary reported the position.
}

// at returns the newest commit at the service, or the zero value if there is none.
func (c ownCommits) at(service identifier.ServiceName) ownCommit {
	for _, commit := range c {
		if commit.service == service {
			return commit
		}
	}
	return ownCommit{}
}

// record records a commit. The newest commit at a service is never replaced by an
// earlier one, or by none: what a peer knows of the session, or whether a promotion
// has discarded the commit, does not show here.
func (c *ownCommits) record(commit ownCommit) {
	if commit.position.IsZero() {
		return
	}
	for i, known := range *c {
		if known.service != commit.service {
			continue
		}
		if commit.position.Compare(known.position) > 0 {
			(*c)[i] = commit
		}
		return
	}
	*c = append(*c, commit)
}

// age returns the time since the request of the commit was sent, 0 without a commit.
func (c ownCommit) age() time.Duration {
	if c.position.IsZero() {
		return 0
	}
	return time.Since(c.sentAt)
}
