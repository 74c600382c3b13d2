package sessioner

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/ratelimiter"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/transport/reporter"
)

// Guards against refusals for the rate whose text, log line and metric do not tell
// why there was no token.
func TestRateRefusalsTellTheirCause(t *testing.T) {
	for cause, reason := range map[error]ratelimiter.Reason{
		ratelimiter.ErrOverRate:        ratelimiter.ReasonOverRate,
		ratelimiter.ErrTokensElsewhere: ratelimiter.ReasonTokensElsewhere,
		ratelimiter.ErrNoOwner:         ratelimiter.ReasonNoOwner,
		ratelimiter.ErrOwnerStarting:   ratelimiter.ReasonOwnerStarting,
	} {
		t.Run(string(reason), func(t *testing.T) {
			var log strings.Builder
			s, _ := newTestServer()
			s.Registry = &reporter.Registry{}
			s.Logger = zerolog.New(&log)
			n := &session{server: s}
			err := errors.WithStack(&ratelimiter.RefusalError{Err: cause, RetryAfter: 120 * time.Millisecond})
			o, r := n.refuseForRate(operation{workspace: "shop"}, err)
			n.logRefused("statement_refused", "id", o, r)
			qt.Check(t, r.Code, qt.Equals, requester.Overloaded)
			qt.Check(t, strings.HasPrefix(r.Text, cause.Error()+"; retry after 12"), qt.IsTrue, qt.Commentf("%s", r.Text))
			qt.Check(t, log.String(), qt.Contains, `"cause":"`+string(reason)+`","workspace":"shop"`)
			var metrics strings.Builder
			_, err = s.Registry.WriteTo(&metrics)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, metrics.String(), qt.Contains, `rate_refusals{reason="`+string(reason)+`"} 1`)
		})
	}
}
