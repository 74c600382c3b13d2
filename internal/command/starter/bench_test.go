package starter_test

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

// BenchmarkStatement measures the latency and the allocations that an instance
// adds to a statement of the line protocol, compared with the same statement
// sent directly to the server.
func BenchmarkStatement(b *testing.B) {
	for _, test := range []struct{ name, database, text string }{
		{"replica_read", "catalogue", "READ item"},
		{"primary_read", "booking", "READ item"},
		{"write", "booking", "WRITE item x"},
	} {
		b.Run(test.name, func(b *testing.B) { benchmarkStatement(b, test.database, test.text) })
	}
}

func benchmarkStatement(b *testing.B, database, text string) {
	p := newTestPlatform(b)
	i := p.startInstance("one")
	direct := dialRaw(b, p.members["a"].Address(), "STARTUP rentals shops")
	proxied := dialRaw(b, i.address, "STARTUP "+database+" key-1")
	run := func(c *rawClient, h *hdrhistogram.Histogram) {
		started := time.Now()
		c.send("QUERY 5c0e7a21d94b36f8 " + text)
		if h != nil {
			qt.Assert(b, h.RecordValue(time.Since(started).Nanoseconds()), qt.IsNil)
		}
	}
	const warmUp = 500 // The workspace's burst is 1000 operations.
	for range warmUp {
		run(direct, nil)
		run(proxied, nil)
	}
	directAllocations := meanAllocations(func() { run(direct, nil) })
	proxiedAllocations := meanAllocations(func() { run(proxied, nil) })
	hd, hp := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
	b.ResetTimer()
	for range b.N {
		run(direct, hd)
		run(proxied, hp)
		time.Sleep(time.Millisecond) // Stays within the rate limit of 1000 operations per second.
	}
	b.ReportMetric(float64(hd.ValueAtQuantile(50))/1000, "direct_p50_us")
	b.ReportMetric(float64(hp.ValueAtQuantile(50))/1000, "proxied_p50_us")
	b.ReportMetric(float64(hp.ValueAtQuantile(50)-hd.ValueAtQuantile(50))/1000, "added_p50_us")
	b.ReportMetric(proxiedAllocations-directAllocations, "added_allocs")
}

// meanAllocations returns the mean number of heap allocations of a call, over
// the whole process.
func meanAllocations(f func()) float64 {
	const calls = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / calls
}

// rawClient is a client of the line protocol with little overhead of its own.
type rawClient struct {
	b      *testing.B
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(b *testing.B, address, startup string) *rawClient {
	conn, err := net.Dial("tcp4", address)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = conn.Close() })
	c := &rawClient{b, conn, bufio.NewReader(conn)}
	c.send(startup)
	return c
}

// send sends a message and reads the answer up to READY.
func (c *rawClient) send(line string) {
	_, err := io.WriteString(c.conn, line+"\r\n")
	if err != nil {
		c.b.Fatal(err)
	}
	for {
		answer, err := c.reader.ReadSlice('\n')
		switch {
		case err != nil:
			c.b.Fatal(err)
		case strings.HasPrefix(string(answer), "ERROR"):
			c.b.Fatalf("%s: %s", line, answer)
		case strings.HasPrefix(string(answer), "READY"):
			return
		}
	}
}
