package logger

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

// Bounds of a [Writer] whose fields are 0.
const (
	DefaultRate   = 40.0 // Lines a second of one kind of event.
	DefaultBurst  = 200.0
	DefaultBuffer = 1024 // Lines.

	reportPeriod = time.Second
	maxKinds     = 128 // Kinds of events that are told apart.
)

// Writer takes one JSON event for each call of Write, as zerolog makes them.
// Out is required. It is safe for concurrent use.
type Writer struct {
	Out    io.Writer
	Rate   float64
	Burst  float64
	Buffer int
	Now    func() time.Time // Nil selects time.Now.

	mu      sync.Mutex
	lines   chan []byte
	done    chan struct{}
	kinds   map[string]*kind
	closed  bool
	dropped bool // Since the last report.
}

// kind is the rate of one kind of event.
type kind struct {
	tokens  float64
	filled  time.Time
	dropped int
}

// Write queues an event. It never blocks and never fails.
func (w *Writer) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(event), nil
	}
	w.start()
	k := w.kind(field(event, "event"))
	if !w.take(k) {
		k.dropped++
		w.dropped = true
		return len(event), nil
	}
	select {
	case w.lines <- bytes.Clone(event):
	default:
		k.dropped++
		w.dropped = true
	}
	return len(event), nil
}

func (w *Writer) start() {
	if w.lines != nil {
		return
	}
	size := w.Buffer
	if size == 0 {
		size = DefaultBuffer
	}
	w.lines = make(chan []byte, size)
	w.done = make(chan struct{})
	w.kinds = map[string]*kind{}
	go w.run()
}

func (w *Writer) kind(name string) *kind {
	k, ok := w.kinds[name]
	if !ok && len(w.kinds) >= maxKinds {
		name = "other"
		k, ok = w.kinds[name]
	}
	if !ok {
		k = &kind{tokens: w.burst(), filled: w.now()}
		w.kinds[name] = k
	}
	return k
}

func (w *Writer) take(k *kind) bool {
	now := w.now()
	rate := w.Rate
	if rate == 0 {
		rate = DefaultRate
	}
	k.tokens = min(w.burst(), k.tokens+rate*now.Sub(k.filled).Seconds())
	k.filled = now
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

func (w *Writer) burst() float64 {
	if w.Burst == 0 {
		return DefaultBurst
	}
	return w.Burst
}

func (w *Writer) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// run writes the lines and reports what was dropped.
func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var line []byte
	for {
		select {
		case event, ok := <-w.lines:
			if !ok {
				w.report()
				return
			}
			line = Format(line[:0], event)
			w.write(line)
		case <-ticker.C:
			w.report()
		}
	}
}

// write ignores failures: there is no other place to report them to.
func (w *Writer) write(line []byte) {
	_, _ = w.Out.Write(line)
}

func (w *Writer) report() {
	w.mu.Lock()
	var counts []byte
	if w.dropped {
		for name, k := range w.kinds {
			if k.dropped > 0 {
				counts = append(counts, ' ')
				counts = append(counts, name...)
				counts = append(counts, '=')
				counts = strconv.AppendInt(counts, int64(k.dropped), 10)
				k.dropped = 0
			}
		}
	}
	w.dropped = false
	now := w.now()
	w.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	line := append([]byte("time="), now.UTC().Format(time.RFC3339Nano)...)
	line = append(line, " level=warn event=lines_dropped"...)
	line = append(line, counts...)
	w.write(append(line, '\n'))
}

// Close writes what is queued and ends the task.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed || w.lines == nil {
		w.closed = true
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}
