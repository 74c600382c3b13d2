package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(directory string) (*record, error) {
	f, err := os.Create(filepath.Join(directory, "record.txt")) //nolint:gosec // The folder of the case.
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// at returns the seconds from the start of the case to the time.
func (r *record) at(t time.Time) string {
	return fmt.Sprintf("%7.3f", t.Sub(r.start).Seconds())
}

// add writes a line with the present time.
func (r *record) add(format string, arguments ...any) {
	r.addAt(time.Now(), format, arguments...)
}

func (r *record) addAt(t time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s %s\n", r.at(t), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
