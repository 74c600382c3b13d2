package limiter_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/limiter"
)

// Guards against heap allocation when tokens are taken.
func TestTakeDoesNotAllocate(t *testing.T) {
	var b limiter.Bucket
	limit := limiter.Limit{Rate: 1000, Burst: 100}
	b.Merge(limit, limiter.Share{Fraction: limiter.Whole, Tokens: 100})
	qt.Assert(t, testing.AllocsPerRun(100, func() { b.Take(limit, 1) }), qt.Equals, 0.0)
}

// Guards against a reported wait after which the tokens are not there.
func TestTakeReportsTheRefillTime(t *testing.T) {
	now := time.Unix(0, 0)
	b := limiter.Bucket{Now: func() time.Time { return now }}
	limit := limiter.Limit{Rate: 10, Burst: 4}
	b.Merge(limit, limiter.Share{Fraction: limiter.Whole / 2})
	_, wait, ok := b.Take(limit, 1)
	qt.Assert(t, ok, qt.IsFalse)
	now = now.Add(wait)
	_, _, ok = b.Take(limit, 1)
	qt.Assert(t, ok, qt.IsTrue)
	_, wait, _ = b.Take(limit, 3)
	qt.Assert(t, wait, qt.Equals, limiter.Forever)
}

// Guards against splits, merges, loans and changed limits that create fractions
// above the whole, or tokens and admissions above rate and burst.
func TestBucketsStayWithinRateAndBurst(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A fixed seed makes runs repeatable; -rapid.seed selects another.
		qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		buckets := make([]limiter.Bucket, 3)
		for i := range buckets {
			buckets[i].Now = func() time.Time { return now }
		}
		limit := limiter.Limit{Rate: 100, Burst: 20}
		buckets[0].Merge(limit, limiter.Share{Fraction: limiter.Whole, Tokens: 20})
		allowed, admitted := 20.0, 0.0
		type loan struct {
			tokens  float64
			expires time.Time
		}
		var loans []loan
		for range 200 {
			b := &buckets[rapid.IntRange(0, 2).Draw(t, "bucket")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
				now = now.Add(d)
				allowed += limit.Rate * d.Seconds()
			case 1:
				cost := rapid.Float64Range(0, 5).Draw(t, "cost")
				if _, _, ok := b.Take(limit, cost); ok {
					admitted += cost
				}
			case 2:
				wanted := limiter.Share{
					Fraction: limiter.FractionOf(rapid.Float64Range(0, 1).Draw(t, "fraction")),
					Tokens:   rapid.Float64Range(0, 30).Draw(t, "tokens"),
				}
				s := b.Split(limit, wanted)
				if rapid.Bool().Draw(t, "delivered") {
					buckets[rapid.IntRange(0, 2).Draw(t, "to")].Merge(limit, s)
				}
			case 3:
				l := loan{rapid.Float64Range(0, 5).Draw(t, "loan"), now.Add(50 * time.Millisecond)}
				if b.Lend(limit, l.tokens, 50*time.Millisecond) {
					loans = append(loans, l)
				}
			case 4:
				loans = nil // A lowered burst does not revoke loans.
				limit.Rate = rapid.Float64Range(0, 200).Draw(t, "rate")
				burst := rapid.Float64Range(0, 20).Draw(t, "burst")
				limit.Burst = burst
				for i := range buckets {
					buckets[i].Held(limit)
				}
			}
			// The tokens of a loan count until it expires.
			sum, tokens := limiter.Fraction(0), 0.0
			for _, l := range loans {
				if l.expires.After(now) {
					tokens += l.tokens
				}
			}
			for i := range buckets {
				h := buckets[i].Held(limit)
				sum += h.Fraction
				tokens += h.Tokens
			}
			if sum > limiter.Whole || tokens > limit.Burst+1e-6 || admitted > allowed+1e-6 {
				t.Fatalf("fraction %d, tokens %g of %g, admitted %g of %g", sum, tokens, limit.Burst, admitted, allowed)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	var bucket limiter.Bucket
	limit := limiter.Limit{Rate: 1e9, Burst: 1e9}
	bucket.Merge(limit, limiter.Share{Fraction: limiter.Whole, Tokens: 1e9})
	b.ReportAllocs()
	for b.Loop() {
		bucket.Take(limit, 1)
	}
}
