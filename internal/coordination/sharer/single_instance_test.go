package sharer_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/identifier"
)

func limitOf(rate, burst float64) func(identifier.WorkspaceName) (float64, float64) {
	return func(identifier.WorkspaceName) (float64, float64) { return rate, burst }
}

// Guards against a request that is held longer than 50 ms, and against a retry
// time after which the tokens are not there.
func TestSingleInstanceReportsRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharer.Sharer{SingleInstance: true, Limit: limitOf(10, 5)}
		defer s.Close()
		begin := time.Now()
		err := s.Admit(t.Context(), "obi", 1)
		var over *sharer.OverRateError
		qt.Assert(t, errors.As(err, &over), qt.IsTrue)
		qt.Assert(t, errors.Is(err, sharer.ErrOverRate), qt.IsTrue)
		qt.Assert(t, time.Since(begin), qt.Equals, time.Duration(0))
		time.Sleep(over.RetryAfter)
		qt.Assert(t, s.Admit(t.Context(), "obi", 1), qt.IsNil)

		time.Sleep(60 * time.Millisecond)
		begin = time.Now()
		qt.Assert(t, s.Admit(t.Context(), "obi", 1), qt.IsNil)
		qt.Assert(t, time.Since(begin) > 0 && time.Since(begin) <= 50*time.Millisecond, qt.IsTrue)

		time.Sleep(60 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		qt.Assert(t, s.Admit(ctx, "obi", 1), qt.Equals, context.DeadlineExceeded)
	})
}

// Guards against an admission by an instance that may have been removed.
func TestAdmitsOnlyWhileCurrent(t *testing.T) {
	current := false
	s := sharer.Sharer{SingleInstance: true, Limit: limitOf(1000, 5), Current: func() bool { return current }}
	defer s.Close()
	_ = s.Admit(t.Context(), "obi", 0)
	qt.Assert(t, s.Admit(t.Context(), "obi", 0), qt.Equals, sharer.ErrNotCurrent)
	current = true
	qt.Assert(t, s.Admit(t.Context(), "obi", 0), qt.IsNil)
}

// Guards against heap allocation when a request is admitted from available
// tokens.
func TestAdmitDoesNotAllocate(t *testing.T) {
	var now atomic.Int64 // The clock advances a microsecond with each read.
	clock := func() time.Time { return time.UnixMicro(now.Add(1)) }
	s := sharer.Sharer{SingleInstance: true, Limit: limitOf(1e9, 1e9), Now: clock}
	defer s.Close()
	ctx := t.Context()
	_ = s.Admit(ctx, "obi", 0)
	refused := 0
	allocs := testing.AllocsPerRun(100, func() {
		if s.Admit(ctx, "obi", 1) != nil {
			refused++
		}
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
	qt.Assert(t, refused, qt.Equals, 0)
}

func BenchmarkAdmit(b *testing.B) {
	s := sharer.Sharer{SingleInstance: true, Limit: limitOf(1e12, 1e12)}
	defer s.Close()
	ctx := b.Context()
	_ = s.Admit(ctx, "obi", 0)
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Admit(ctx, "obi", 1)
	}
}
