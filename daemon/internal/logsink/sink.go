// Package logsink writes log lines to standard output without ever blocking the
// caller: lines are gathered in a bounded buffer that a goroutine writes out.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the memory for lines that standard output does not take.
	maxBuffered = 1 << 20
	// maxWrite bounds one write where lines allow it: a collector may keep only so much of it.
	maxWrite = 8 << 10
	// flushEvery gathers lines, since each write costs a system call; a killed
	// process loses at most the lines of this time.
	flushEvery = 50 * time.Millisecond
)

// Sink is a bounded buffer in front of standard output.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a sink for standard output.
func New() *Sink { return newSink(os.Stdout) }

func newSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line; it drops and counts the line if the buffer is full or the
// sink is closed.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > maxBuffered {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	// A closed sink has returned above, so that this never sends on a closed channel.
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing; lines are written soon after they come.
func (s *Sink) Sync() error { return nil }

// Close writes what is left. Goroutines that end later may still write; their lines
// are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.wake)
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(flushEvery)
		s.flush()
	}
	s.flush()
}

// writeOut writes lines in pieces of whole lines.
func (s *Sink) writeOut(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWrite {
			n = bytes.LastIndexByte(lines[:maxWrite], '\n') + 1
		}
		if n == 0 {
			// A single line longer than a write.
			n = bytes.IndexByte(lines, '\n') + 1
		}
		_, _ = s.out.Write(lines[:n]) // There is no other place to report to.
		lines = lines[n:]
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = s.spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"[log] lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		s.writeOut(lines)
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
