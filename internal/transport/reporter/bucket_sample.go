package reporter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Upper bounds of the buckets: the first is 10 microseconds and each further one
// is 1.5 times the previous. The last bucket also counts all longer durations; the
// bound of the bucket before it is about 111 s.
const (
	bucketCount      = 42
	firstBucketBound = float64(10 * time.Microsecond)
	bucketRatio      = 1.5
)

// BucketSample is a [metrics.Sample] of durations in nanoseconds. It keeps a count
// for each of 42 buckets, in about 350 bytes. A percentile is therefore accurate
// to within a factor of 1.5.
type BucketSample struct {
	counts [bucketCount]atomic.Int64
	sum    atomic.Int64
}

var _ metrics.Sample = (*BucketSample)(nil)

// Update records a duration in nanoseconds.
func (s *BucketSample) Update(v int64) {
	s.counts[bucketIndex(v)].Add(1)
	s.sum.Add(v)
}

// Count returns the number of recorded values.
func (s *BucketSample) Count() int64 {
	var n int64
	for i := range s.counts {
		n += s.counts[i].Load()
	}
	return n
}

// Cumulative returns, for each bucket, the number of values up to its upper bound.
func (s *BucketSample) Cumulative() [bucketCount]int64 {
	var all [bucketCount]int64
	var n int64
	for i := range s.counts {
		n += s.counts[i].Load()
		all[i] = n
	}
	return all
}

// Percentile returns the upper bound, in nanoseconds, of the bucket that contains
// the p-quantile of the values, where p is between 0 and 1. It returns 0 if there
// are no values.
func (s *BucketSample) Percentile(p float64) float64 {
	all := s.Cumulative()
	total := all[bucketCount-1]
	if total == 0 {
		return 0
	}
	rank := max(int64(math.Ceil(p*float64(total))), 1)
	for i, n := range all {
		if n >= rank {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

// Percentiles returns [BucketSample.Percentile] for each element of ps.
func (s *BucketSample) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = s.Percentile(p)
	}
	return values
}

// Sum returns the sum of the values in nanoseconds.
func (s *BucketSample) Sum() int64 { return s.sum.Load() }

// Mean returns the mean of the values in nanoseconds.
func (s *BucketSample) Mean() float64 {
	n := s.Count()
	if n == 0 {
		return 0
	}
	return float64(s.Sum()) / float64(n)
}

// Min returns the upper bound of the lowest bucket that is not empty.
func (s *BucketSample) Min() int64 { return int64(s.Percentile(0)) }

// Max returns the upper bound of the highest bucket that is not empty.
func (s *BucketSample) Max() int64 { return int64(s.Percentile(1)) }

// Variance returns 0: it cannot be computed from the buckets.
func (s *BucketSample) Variance() float64 { return 0 }

// StdDev returns 0: it cannot be computed from the buckets.
func (s *BucketSample) StdDev() float64 { return 0 }

// Size returns the number of buckets.
func (s *BucketSample) Size() int { return bucketCount }

// Values returns the counts of the buckets.
func (s *BucketSample) Values() []int64 {
	values := make([]int64, bucketCount)
	for i := range s.counts {
		values[i] = s.counts[i].Load()
	}
	return values
}

// Clear resets all counts and the sum.
func (s *BucketSample) Clear() {
	for i := range s.counts {
		s.counts[i].Store(0)
	}
	s.sum.Store(0)
}

// Snapshot returns a copy that later updates do not change.
func (s *BucketSample) Snapshot() metrics.Sample {
	c := &BucketSample{}
	for i := range s.counts {
		c.counts[i].Store(s.counts[i].Load())
	}
	c.sum.Store(s.sum.Load())
	return c
}

// bucketIndex returns the index of the bucket that counts a duration of v
// nanoseconds.
func bucketIndex(v int64) int {
	if float64(v) <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(v)/firstBucketBound) / math.Log(bucketRatio)))
	return min(i, bucketCount-1)
}

// bucketUpperBound returns the upper bound of a bucket in nanoseconds.
func bucketUpperBound(i int) float64 {
	return firstBucketBound * math.Pow(bucketRatio, float64(i))
}
