package sessioner

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// ErrNoStatus reports that a backend server did not answer a status query with
// its status.
var ErrNoStatus = errors.New("backend server returned no status")

// ConfirmLeader verifies that a backend server leads its service. If this
// instance may use the primary, the answer is recorded as a position sample.
func (s *Server) ConfirmLeader(b cataloger.BackendServer) error {
	return s.borrowAndConfirm(b, s.anyWorkspace())
}

// Status queries a backend server for its role and log position.
func (s *Server) Status(b cataloger.BackendServer) (requester.ServerStatus, error) {
	return s.queryStatus(b, requester.Statement{Kind: requester.Status})
}

// StepDown makes a backend server that leads in a lower term than the given one
// a replica. It returns the server's status.
func (s *Server) StepDown(b cataloger.BackendServer, term identifier.Term) (requester.ServerStatus, error) {
	return s.queryStatus(b, requester.Statement{Kind: requester.StepDown, Term: term})
}

// queryStatus runs a statement that a backend server answers with its status. The
// connection is closed afterwards: nothing would tell the answer from that to the next
// such statement.
func (s *Server) queryStatus(b cataloger.BackendServer, st requester.Statement) (requester.ServerStatus, error) {
	deadline := time.Now().Add(queryTimeout)
	c, err := s.borrow(lender.Request{Server: b, Workspace: s.anyWorkspace(), AnyWorkspace: true, Deadline: deadline})
	if err != nil {
		return requester.ServerStatus{}, err
	}
	defer s.Lender.Return(c)
	r, err := c.Run(deadline, st)
	c.MarkBroken()
	if err != nil && !c.OutOfStep() {
		s.Balancer.Unreachable(b.ID)
	}
	if err != nil {
		return requester.ServerStatus{}, err
	}
	if r.Code != requester.OK || len(r.Rows) != 1 {
		return requester.ServerStatus{}, errors.Wrapf(ErrNoStatus, "server %s: %s %s", b.ID, r.Code, r.Text)
	}
	return s.ParseServerStatus(r.Rows[0])
}

// anyWorkspace returns the first workspace by name that a backend server can be
// told. The proxy's own queries belong to no workspace, but a connection requires
// one.
func (s *Server) anyWorkspace() identifier.WorkspaceName {
	var first identifier.WorkspaceName
	for name := range s.Holder.Catalog().Configuration.Workspaces {
		if strings.ContainsAny(string(name), " \r\n") {
			continue
		}
		if first == "" || name < first {
			first = name
		}
	}
	return first
}
