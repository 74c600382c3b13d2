package logger

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

// Limits of a [Writer] whose fields are 0.
const (
	DefaultRate   = 40.0  // Lines per second of one kind of event.
	DefaultBurst  = 200.0 // Lines of one kind of event at once.
	DefaultBuffer = 1024  // Lines that wait to be written.

	reportPeriod = time.Second // Between two lines_dropped events.
	maxKinds     = 128         // Further kinds of events share one rate limit.
)

// Writer writes log events to Out. Each call of Write passes one JSON event, as
// zerolog does. Out is required. It is safe for concurrent use.
type Writer struct {
	Out    io.Writer
	Rate   float64
	Burst  float64
	Buffer int
	Now    func() time.Time // Clock; nil selects time.Now.

	mu         sync.Mutex
	lines      chan []byte
	done       chan struct{}
	kinds      map[string]*limiter
	closed     bool
	anyDropped bool // Whether an event was dropped since the last report.
}

// limiter is the token bucket of one kind of event and the number of its events
// that were dropped since the last report.
type limiter struct {
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// Write queues an event or drops it. It never blocks and never fails.
func (w *Writer) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(event), nil
	}
	w.start()
	l := w.limiter(textField(event, "event"))
	if !w.takeToken(l) {
		l.dropped++
		w.anyDropped = true
		return len(event), nil
	}
	var queued []byte
	if len(event) > maxTextBytes {
		queued = appendShortened(nil, event)
	} else {
		queued = bytes.Clone(event)
	}
	select {
	case w.lines <- queued:
	default:
		l.dropped++
		w.anyDropped = true
	}
	return len(event), nil
}

// start makes the zero value usable and starts the goroutine that writes. The
// caller holds mu.
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
	w.kinds = map[string]*limiter{}
	go w.run()
}

// limiter returns the limiter of a kind of event. Kinds beyond maxKinds share one
// under the name "other".
func (w *Writer) limiter(name string) *limiter {
	l, ok := w.kinds[name]
	if !ok && len(w.kinds) >= maxKinds {
		name = "other"
		l, ok = w.kinds[name]
	}
	if !ok {
		l = &limiter{tokens: w.burst(), refilledAt: w.now()}
		w.kinds[name] = l
	}
	return l
}

// takeToken refills the token bucket for the time that has passed and takes one
// token. It returns false if there is none.
func (w *Writer) takeToken(l *limiter) bool {
	now := w.now()
	rate := w.Rate
	if rate == 0 {
		rate = DefaultRate
	}
	l.tokens = min(w.burst(), l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
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

// run formats and writes the queued events and periodically reports how many were
// dropped.
func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var line []byte
	for {
		select {
		case event, ok := <-w.lines:
			if !ok {
				w.reportDropped()
				return
			}
			line = Format(line[:0], event)
			w.write(line)
		case <-ticker.C:
			w.reportDropped()
		}
	}
}

// write ignores write errors, because there is no other place to report them.
func (w *Writer) write(line []byte) {
	_, _ = w.Out.Write(line)
}

// reportDropped writes a lines_dropped event with the number of dropped events by
// kind, if there are any, and resets the numbers.
func (w *Writer) reportDropped() {
	w.mu.Lock()
	var counts []byte
	if w.anyDropped {
		for name, l := range w.kinds {
			if l.dropped > 0 {
				counts = append(counts, ' ')
				counts = append(counts, name...)
				counts = append(counts, '=')
				counts = strconv.AppendInt(counts, int64(l.dropped), 10)
				l.dropped = 0
			}
		}
	}
	w.anyDropped = false
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

// Close writes the queued events and ends the goroutine. Later events are ignored.
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
