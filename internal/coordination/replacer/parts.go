package replacer

import (
	"time"

	"github.com/rs/zerolog"
)

// parts are the steps of one replacement with their times.
type parts struct {
	all     []part
	started time.Time
}

type part struct {
	name string
	took time.Duration
}

// begin ends the present part and begins the next one, if it has a name.
func (p *parts) begin(name string) {
	now := time.Now()
	if n := len(p.all); n > 0 && !p.started.IsZero() {
		p.all[n-1].took = now.Sub(p.started)
	}
	p.started = time.Time{}
	if name != "" {
		p.all = append(p.all, part{name: name})
		p.started = now
	}
}

// explain adds the parts to a log line.
func (p *parts) explain(e *zerolog.Event) {
	for _, o := range p.all {
		e.Int64(o.name+"_ms", o.took.Milliseconds())
	}
}
