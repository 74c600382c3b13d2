// Command stage-3 plays the cases of the third review that are scripts. It starts the
// built program as separate processes on loopback addresses against stand-ins of the
// platform, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"large":    playLarge,
	"late":     playLate,
	"memory":   playMemory,
	"prepared": playPrepared,
	"revision": playRevision,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-3 CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("could not run: %v", err)
		code = notRun
	}
	r.add("exit %d", code)
	r.close()
	os.Exit(code)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // The path comes from the script.
	return &record{file: file, started: time.Now()}, err
}

// add adds a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	_ = r.file.Close()
}
