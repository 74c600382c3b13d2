package acceptor

import (
	"context"
	"time"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/state/identifier"
)

// Target is the backend server selected for a batch.
type Target struct {
	Server  identifier.BackendServerID
	Address string          // IP address and port.
	Term    identifier.Term // Term of the primary; meaningful only if Primary is set.
	Primary bool
}

// ReadRequirements states what a read requires of a backend server.
type ReadRequirements struct {
	Floor         identifier.Position
	PositionKnown bool          // If false and MaxAge is 0, only the primary qualifies.
	MaxAge        time.Duration // Maximum age of the data; 0 means that no stale data is accepted.
	Deadline      time.Time
	// SessionStart is the start of a session that has no floor and has not
	// written. The primary must have been sampled after it: shortly after a
	// planned change of primary, an instance may still hold a write right for
	// an older term.
	SessionStart time.Time
}

// Hooks connect the acceptor to the other components of the instance. An error
// that wraps a refuser.RefusalError is sent to the client as that refusal; any
// other error means that the batch was not run. An error with a method
// RetryAfter() time.Duration sets the retry time sent to the client.
type Hooks struct {
	// Admit charges the cost of a request to the rate limit of the workspace.
	// If nil, all requests are admitted.
	Admit func(ctx context.Context, workspace identifier.WorkspaceName, cost float64) error
	// RouteRead selects a server for a read. It may wait for a replica to catch
	// up.
	RouteRead  func(identifier.ServiceName, ReadRequirements) (Target, error)
	RouteWrite func(identifier.ServiceName) (Target, error)
	// HoldsWriteRight reports whether the instance holds the write right for
	// the service in the given term. If nil, it never does.
	HoldsWriteRight func(identifier.ServiceName, identifier.Term) bool
	// MayUse returns an error that wraps [ErrEvacuated] if no statement may be
	// sent to the server any more. The argument held selects whether statements
	// of an open transaction, and writes, may still be sent. If nil, every server
	// may be used.
	MayUse func(server identifier.BackendServerID, held bool) error
	// AcquireSlot waits for a slot to run a batch on the server. If nil, the
	// number of batches is not limited.
	AcquireSlot func(ctx context.Context, server identifier.BackendServerID, workspace identifier.WorkspaceName,
		weight float64) (release func(), err error)
	// SampledPosition returns the primary's log position from a sample whose
	// query was sent after the given time. If nil, no position is known and
	// reads go to the primary.
	SampledPosition func(service identifier.ServiceName, after time.Time) (identifier.Position, bool)
	// RequestSample requests that the primary's position be sampled soon.
	RequestSample func(identifier.ServiceName)
	// AwaitMajority waits until a majority of the members has received
	// everything that the primary had committed, in the given term, by the time
	// since. If nil, durable acknowledgement fails.
	AwaitMajority func(ctx context.Context, service identifier.ServiceName, term identifier.Term, since time.Time) error
	// ObserveBatch receives the measurement of each finished batch. It may be
	// nil.
	ObserveBatch func(Measurement)
}

// Measurement describes a finished batch for metrics.
type Measurement struct {
	Workspace identifier.WorkspaceName
	Service   identifier.ServiceName
	Server    identifier.BackendServerID // Empty if no server was used.
	Class     classifier.Class
	Primary   bool
	Duration  time.Duration
	State     string // SQLSTATE of the refusal; empty on success.
}
