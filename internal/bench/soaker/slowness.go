package soaker

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"oleanderpulley/internal/bench/stager"
)

const (
	freezeTime = 3 * time.Second
	slowTime   = 4 * time.Second
	// An instance runs for slowRun and is stopped for slowStop in turn, so that it is 5.5
	// times slower.
	slowRun  = 10 * time.Millisecond
	slowStop = 45 * time.Millisecond
	// giveUpTolerance is the time before the end of a statement's timeout in which it may be
	// given up.
	giveUpTolerance = 50 * time.Millisecond
)

// slownessFaults are injected only by name. They slow down one instance and nothing else, so
// that checkGivenUp applies.
var slownessFaults = []fault{
	{"instance frozen", func(e *environment, r *rand.Rand, _ time.Duration) { e.freeze(e.randomInstance(r)) }},
	{"instance slow", func(e *environment, r *rand.Rand, _ time.Duration) { e.slowDown(e.randomInstance(r)) }},
}

// freeze stops the process of an instance for freezeTime.
func (e *environment) freeze(p *stager.Process) {
	p.Signal(syscall.SIGSTOP)
	from := time.Now()
	time.Sleep(freezeTime)
	p.Signal(syscall.SIGCONT)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freezes = append(e.freezes, freeze{from, time.Now()})
}

// freeze is the time in which an instance was stopped.
type freeze struct{ from, to time.Time }

// slowDown makes an instance 5.5 times slower for slowTime.
func (e *environment) slowDown(p *stager.Process) {
	for end := time.Now().Add(slowTime); time.Now().Before(end); {
		p.Signal(syscall.SIGSTOP)
		time.Sleep(slowStop)
		p.Signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// slowsInstances reports whether nothing but the speed of instances changes in the run.
func (s Soak) slowsInstances() bool {
	for _, f := range slownessFaults {
		if f.name == s.Fault {
			return true
		}
	}
	return false
}

// checkGivenUp checks that no single statement is answered with an unknown outcome while
// its timeout leaves time for the answer of an instance that is slow or no longer frozen.
func (h *history) checkGivenUp(freezes []freeze) []string {
	var broken []string
	for _, o := range h.operations {
		deadline := o.sent.Add(statementTimeout - giveUpTolerance)
		if o.isTransaction || o.code != "INDOUBT" || !o.answered.Before(deadline) || isFrozen(freezes, o.sent, deadline) {
			continue
		}
		broken = append(broken, fmt.Sprintf("given up: statement %s sent to %s at %s was answered with INDOUBT after %v, its timeout is %v",
			o.id, o.instance, o.sent.UTC().Format("15:04:05.000"), o.answered.Sub(o.sent), statementTimeout))
	}
	return broken
}

// isFrozen reports whether an instance was frozen at some time from sent on, and still at
// the deadline.
func isFrozen(freezes []freeze, sent, deadline time.Time) bool {
	for _, f := range freezes {
		if f.from.Before(deadline) && f.to.After(deadline) && f.to.After(sent) {
			return true
		}
	}
	return false
}
