package acceptor

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/refuser"
)

// mayRetry reports whether another attempt is safe and may succeed.
func (s *session) mayRetry(ctx context.Context, b *batch, err error) bool {
	var clientErr *clientError
	if errors.As(err, &clientErr) || b.forwarded || ctx.Err() != nil {
		return false
	}
	if b.sent {
		return b.isIdempotent() || s.acceptor.retryAfterSend
	}
	var r *refuser.RefusalError
	return !errors.As(err, &r) || r.Case == refuser.NotRun
}

// retryBudget is a token bucket that allows one retry per ten requests, so that
// retries do not multiply the load on a failing server.
type retryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

const (
	retriesPerRequest = 0.1
	maxRetryTokens    = 20
)

func (b *retryBudget) addTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.initialized {
		b.initialized, b.tokens = true, maxRetryTokens
	}
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens)
}

func (b *retryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
