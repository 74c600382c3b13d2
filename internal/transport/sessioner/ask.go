package sessioner

import (
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// ErrNoStatus reports an answer that tells nothing of the server.
var ErrNoStatus = errors.New("backend server told no status")

// Confirm asks a server whether it leads. On success the answer is recorded as
// a position sample.
func (s *Server) Confirm(b cataloger.BackendServer) error {
	return s.askServer(b, s.anyWorkspace())
}

// Status asks a server for its role and position.
func (s *Server) Status(b cataloger.BackendServer) (requester.Member, error) {
	return s.askMember(b, requester.Statement{Kind: requester.Status})
}

// StepDown makes a server that leads a term below the given one a replica.
func (s *Server) StepDown(b cataloger.BackendServer, term identifier.Term) (requester.Member, error) {
	return s.askMember(b, requester.Statement{Kind: requester.StepDown, Term: term})
}

func (s *Server) askMember(b cataloger.BackendServer, st requester.Statement) (requester.Member, error) {
	deadline := time.Now().Add(askTimeout)
	c, err := s.borrow(lender.Wish{Server: b, Workspace: s.anyWorkspace(), Any: true, Deadline: deadline})
	if err != nil {
		return requester.Member{}, err
	}
	defer s.Lender.Return(c)
	r, err := c.Run(deadline, st)
	if err != nil {
		s.Placer.Unreachable(b.ID)
		return requester.Member{}, err
	}
	if r.Code != requester.OK || len(r.Rows) != 1 {
		return requester.Member{}, errors.Wrapf(ErrNoStatus, "server %s: %s %s", b.ID, r.Code, r.Text)
	}
	return s.ParseMember(r.Rows[0])
}

// anyWorkspace returns a workspace to ask for: questions of this system belong
// to none, but a connection needs one.
func (s *Server) anyWorkspace() identifier.WorkspaceName {
	var first identifier.WorkspaceName
	for name := range s.Holder.Catalog().Configuration.Workspaces {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}
