package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"oleanderpulley/internal/transport/logger"
)

func ExampleFormat() {
	event := `{"level":"info","event":"statement_failed","reason":"no primary is known","led":false,"tries":["a","b"]}`
	fmt.Print(string(logger.Format(nil, []byte(event))))
	// Output: level=info event=statement_failed reason="no primary is known" led=false tries=["a","b"]
}

// Guards against values that differ between the event and the fields that are
// parsed from its line.
func TestLinesCanBeReadBack(t *testing.T) {
	var b bytes.Buffer
	text := "a \"quoted\" = text\\ with, all {of} it\n"
	l := zerolog.New(&b)
	l.Info().Str("event", "e").Str("text", text).Str("empty", "").Float64("n", 1.5).Bool("yes", true).Send()
	line := string(logger.Format(nil, b.Bytes()))
	qt.Assert(t, strings.Count(line, "\n"), qt.Equals, 1)
	qt.Assert(t, logger.Fields(line), qt.DeepEquals, map[string]string{
		"level": "info", "event": "e", "text": text, "empty": "", "n": "1.5", "yes": "true",
	})
}

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (o *blockingWriter) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// Guards against requests that are blocked by a slow reader of the log, against a
// log volume that grows with the load, and against dropped lines that are not
// counted.
func TestWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	now := time.Unix(1000, 0)
	w := &logger.Writer{Out: out, Rate: 10, Burst: 50, Buffer: 20, Now: func() time.Time { return now }}
	l := zerolog.New(w)
	const flood, rare = 5000, 3
	for range flood {
		l.Info().Str("event", "flood").Send()
	}
	for range rare {
		l.Info().Str("event", "rare").Send()
	}
	close(out.release)
	w.Close()
	text := out.b.String()
	written := strings.Count(text, "event=flood")
	qt.Assert(t, written <= 50, qt.IsTrue)
	var floodDropped, rareDropped int
	for line := range strings.Lines(text) {
		if f := logger.Fields(line); f["event"] == "lines_dropped" {
			var n int
			if _, err := fmt.Sscan(f["flood"], &n); err == nil {
				floodDropped += n
			}
			if _, err := fmt.Sscan(f["rare"], &n); err == nil {
				rareDropped += n
			}
		}
	}
	qt.Assert(t, written+floodDropped, qt.Equals, flood)
	qt.Assert(t, strings.Count(text, "event=rare")+rareDropped, qt.Equals, rare)
}

func FuzzFormat(f *testing.F) {
	f.Add([]byte(`{"a":"b","c":[1,{"d":"}"}],"e":null}`))
	f.Fuzz(func(t *testing.T, event []byte) {
		line := logger.Format(nil, event)
		qt.Assert(t, bytes.HasSuffix(line, []byte("\n")), qt.IsTrue)
		logger.Fields(string(line))
	})
}

// Guards against a text of a client that ends a log line, becomes a field of its own, or
// is cut when the line is read back.
func TestTextsOfLinesAreReadBackUnchanged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringOf(rapid.SampledFrom([]rune(" =\"\\\r\n\t\x00\x7f\u0085\u00a0\u2028{}[],:aé\ufffd")))).Draw(r, "text")
		var b bytes.Buffer
		l := zerolog.New(&b)
		l.Info().Str("id", text).Str("reason", text).Send()
		line := string(logger.Format(nil, b.Bytes()))
		fields := logger.Fields(line)
		if strings.ContainsFunc(strings.TrimSuffix(line, "\n"), func(r rune) bool { return !unicode.IsPrint(r) }) || len(fields) != 3 || fields["id"] != text || fields["reason"] != text {
			r.Fatalf("text %q was read back from %q as %q", text, line, fields)
		}
	})
}

// Guards against lines of a client's long texts that fill the memory while they wait to be written.
func TestLongTextsAreCut(t *testing.T) {
	for _, text := range []string{strings.Repeat("\x01", 1<<20), strings.Repeat("é\"", 1<<19), strings.Repeat("\xff", 1<<20), strings.Repeat("x", 8<<10), "é" + strings.Repeat("é", 4<<10)} {
		var b bytes.Buffer
		w := &logger.Writer{Out: &b}
		l := zerolog.New(w)
		l.Info().Str("event", "e").Str("id", text).Strs("list", []string{text, "a"}).Str("last", "z").Send()
		w.Close()
		line := b.String()
		qt.Check(t, len(line) < 150<<10, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
		fields := logger.Fields(line)
		qt.Check(t, fields["id"], qt.Equals, logger.Shortened(string([]rune(text))))
		qt.Check(t, fields["event"], qt.Equals, "e")
		qt.Check(t, fields["last"], qt.Equals, "z")
	}
	short := strings.Repeat("é", 4<<10)
	qt.Assert(t, logger.Shortened(short), qt.Equals, short)
	qt.Assert(t, logger.Shortened("x"+short), qt.Equals, "x"+short[:len(short)-2]+"...")
}
