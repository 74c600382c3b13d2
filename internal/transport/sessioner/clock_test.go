package sessioner

import (
	"sync/atomic"
	"time"
)

// testClock is a clock that a test advances while goroutines of the server read it.
type testClock struct {
	reading atomic.Int64
}

// setClock replaces the clock of the server's holder, which stops at its present reading.
func setClock(s *Server) *testClock {
	c := &testClock{}
	c.reading.Store(int64(s.Holder.Clock()))
	s.Holder.Now = c.now
	return c
}

func (c *testClock) now() time.Duration {
	return time.Duration(c.reading.Load())
}

func (c *testClock) advance(d time.Duration) {
	c.reading.Add(int64(d))
}
