package acceptor_test

import (
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/framer"
)

// startScriptedServer starts a minimal backend server that responds to a Query
// with the result of a function, and to a Sync as after one Parse, Bind and
// Execute. It is used for benchmarks, where the fake backend server would cost
// more than the proxy, and for responses that the fake server never sends.
func startScriptedServer(t testing.TB, respond func(sql string) []byte) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				extended := framer.AppendFrame(framer.AppendFrame(nil, '1'), '2')
				extended = framer.AppendFrame(extended, 'D', append([]byte{0, 1, 0, 0, 0, 100}, make([]byte, 100)...)...)
				extended = framer.AppendFrame(framer.AppendText(extended, 'C', "SELECT 1"), 'Z', 'I')
				readStartup(nc)
				nc.Write(framer.AppendFrame(framer.AppendFrame(framer.AppendFrame(nil, 'R', 0, 0, 0, 0),
					'K', 0, 0, 0, 1, 0, 0, 0, 2), 'Z', 'I'))
				r := framer.Reader{Source: nc}
				for {
					kind, frame, err := r.Next()
					switch {
					case err != nil:
						return
					case kind == 'Q':
						nc.Write(respond(unsafe.String(&frame[framer.HeaderSize], len(frame)-framer.HeaderSize-1)))
					case kind == 'S':
						nc.Write(extended)
					}
					r.Consume()
				}
			}()
		}
	}()
	return l
}

// startEchoServer responds to everything except SET with one row of 100 bytes.
// It does not allocate, so that benchmarks measure only the proxy.
func startEchoServer(t testing.TB) net.Listener {
	row := framer.AppendFrame(nil, 'T', append([]byte("\x00\x01v\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)...)
	row = framer.AppendFrame(row, 'D', append([]byte{0, 1, 0, 0, 0, 100}, make([]byte, 100)...)...)
	row = framer.AppendText(row, 'C', "SELECT 1")
	row = framer.AppendFrame(row, 'Z', 'I')
	short := framer.AppendFrame(framer.AppendText(nil, 'C', "SET"), 'Z', 'I')
	return startScriptedServer(t, func(sql string) []byte {
		if strings.HasPrefix(sql, "SET") {
			return short
		}
		return row
	})
}

func readStartup(nc net.Conn) {
	var header [4]byte
	io.ReadFull(nc, header[:])
	io.CopyN(io.Discard, nc, int64(binary.BigEndian.Uint32(header[:])-4))
}

// rawClient is a client with minimal overhead.
type rawClient struct {
	nc net.Conn
	r  framer.Reader
}

func dialRaw(t testing.TB, address, key string) *rawClient {
	nc, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { nc.Close() })
	out := binary.BigEndian.AppendUint32(make([]byte, 4), 3<<16)
	out = append(out, "user\x00shop\x00database\x00rentals\x00\x00"...)
	binary.BigEndian.PutUint32(out, uint32(len(out)))
	if key != "" {
		nc.Write(out)
		out = framer.AppendText(nil, 'p', key)
	}
	c := &rawClient{nc: nc, r: framer.Reader{Source: nc}}
	if key != "" {
		_, _, err := c.r.Next()
		qt.Assert(t, err, qt.IsNil)
		c.r.Consume()
	}
	qt.Assert(t, c.roundTrip(out), qt.IsNil)
	return c
}

func (c *rawClient) roundTrip(out []byte) error {
	if _, err := c.nc.Write(out); err != nil {
		return err
	}
	for {
		kind, _, err := c.r.Next()
		c.r.Consume()
		if err != nil || kind == 'Z' {
			return err
		}
	}
}

// startBench returns the addresses of the proxy and of the backend server.
func startBench(b *testing.B) (proxied, direct string) {
	direct = startEchoServer(b).Addr().String()
	return serveAcceptor(b, newTestAcceptor(direct)), direct
}

// BenchmarkStatement alternates between a direct connection and a connection
// through the proxy, so that both are measured under the same host load.
func BenchmarkStatement(b *testing.B) {
	extended := framer.AppendFrame(nil, 'P', append([]byte("\x00SELECT v FROM t WHERE id = $1\x00"), 0, 0)...)
	extended = framer.AppendFrame(extended, 'B', append([]byte("\x00\x00"), 0, 0, 0, 1, 0, 0, 0, 2, '4', '2', 0, 0)...)
	extended = framer.AppendFrame(framer.AppendFrame(extended, 'E', 0, 0, 0, 0, 0), 'S')
	b.Run("simple", func(b *testing.B) { benchmarkQuery(b, framer.AppendText(nil, 'Q', "SELECT v FROM t WHERE id = 42")) })
	b.Run("extended", func(b *testing.B) { benchmarkQuery(b, extended) })
}

func benchmarkQuery(b *testing.B, query []byte) {
	address, directAddress := startBench(b)
	direct, proxied := dialRaw(b, directAddress, ""), dialRaw(b, address, testKey)
	hd, hp := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
	run := func(c *rawClient, h *hdrhistogram.Histogram) {
		began := time.Now()
		if err := c.roundTrip(query); err != nil {
			b.Fatal(err)
		}
		if h != nil {
			h.RecordValue(time.Since(began).Nanoseconds())
		}
	}
	for range 2000 {
		run(direct, nil)
		run(proxied, nil)
	}
	ad := mallocs(func() { repeat(2000, func() { run(direct, nil) }) })
	ap := mallocs(func() { repeat(2000, func() { run(proxied, nil) }) })
	b.ResetTimer()
	for range b.N {
		run(direct, hd)
		run(proxied, hp)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(hd.ValueAtQuantile(50))/1e3, "direct-p50-us")
	b.ReportMetric(float64(hd.ValueAtQuantile(99))/1e3, "direct-p99-us")
	b.ReportMetric(float64(hp.ValueAtQuantile(50))/1e3, "proxied-p50-us")
	b.ReportMetric(float64(hp.ValueAtQuantile(99))/1e3, "proxied-p99-us")
	b.ReportMetric(float64(hp.ValueAtQuantile(50)-hd.ValueAtQuantile(50))/1e3, "added-p50-us")
	b.ReportMetric(float64(ap-ad)/2000, "allocs/statement")
}

// BenchmarkIdle measures the memory of idle connections that have run a
// statement. It includes the memory of the client side.
func BenchmarkIdle(b *testing.B) {
	const count = 1000
	query := framer.AppendText(nil, 'Q', "SELECT v FROM t WHERE id = 42")
	address, _ := startBench(b)
	dialRaw(b, address, testKey)
	before := memoryInUse()
	for range count {
		if err := dialRaw(b, address, testKey).roundTrip(query); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric((float64(memoryInUse())-float64(before))/count, "bytes/connection")
}

func repeat(n int, f func()) {
	for range n {
		f()
	}
}

func mallocs(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
