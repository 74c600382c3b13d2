package runner

import (
	"context"
	"net"
	"time"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/transport/acceptor"
)

// Overrides replaces components of an instance. Benchmarks use it to simulate
// network links and to compare policies. The zero value replaces nothing.
type Overrides struct {
	// Dial opens connections to peers and to backend servers. If nil, TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Hooks returns the hooks that the acceptor uses instead of the given ones. If
	// nil, the given hooks are used.
	Hooks func(acceptor.Hooks) acceptor.Hooks
	// SuspectAfter returns how long a backend server must have been silent
	// before it is reported to the promoter. If nil, it is reported at once.
	SuspectAfter func() time.Duration
	// OnFailoverEvent receives the events of this instance's promoter. Nil
	// ignores them.
	OnFailoverEvent func(promoter.Event)
}

// backendDialer adapts Dial to the signature that the pooler expects. It returns
// nil if Dial is nil.
func (o Overrides) backendDialer() func(ctx context.Context, address string) (net.Conn, error) {
	if o.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return o.Dial(ctx, "tcp", address) }
}

// applyHooks returns the hooks that the acceptor uses in place of h.
func (o Overrides) applyHooks(h acceptor.Hooks) acceptor.Hooks {
	if o.Hooks == nil {
		return h
	}
	return o.Hooks(h)
}
