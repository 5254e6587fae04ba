package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, each with the time since the begin.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// logf adds a line.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// sayf adds a line and prints it as well.
func (r *record) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the begin.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func (r *record) close() { _ = r.file.Close() }
