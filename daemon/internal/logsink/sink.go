// Package logsink writes log lines to standard output without ever blocking the caller: it
// collects lines in a bounded buffer, which a goroutine writes out.
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
	// maxBufferedBytes limits the memory for lines while standard output is blocked.
	maxBufferedBytes = 1 << 20
	// maxWriteBytes limits the size of a write, because a log collector may cut off longer
	// writes. Only a single line that is longer is written in one larger write.
	maxWriteBytes = 8 << 10
	// flushDelay is how long lines are collected before a write, because each write costs a
	// system call. A process that is killed loses at most the lines of this period.
	flushDelay = 50 * time.Millisecond
)

// Sink is a bounded buffer in front of standard output.
type Sink struct {
	out    io.Writer
	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the previous flush, which the next flush reuses.
	spare []byte
	// dropped counts the lines dropped since the last flush.
	dropped int
	closed  bool
	// flushRequests has capacity 1; Close closes it.
	flushRequests chan struct{}
	done          chan struct{}
}

// New returns a sink for standard output.
func New() *Sink { return newSink(os.Stdout) }

func newSink(out io.Writer) *Sink {
	s := &Sink{out: out, flushRequests: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line; it drops and counts the line if the buffer is full or the
// sink is closed.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	// Write returns above if the sink is closed, so this never sends on a closed channel.
	select {
	case s.flushRequests <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing, because buffered lines are written within flushDelay.
func (s *Sink) Sync() error { return nil }

// Close writes the buffered lines. Goroutines that still run may call Write afterwards; their
// lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	close(s.flushRequests)
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.flushRequests {
		time.Sleep(flushDelay)
		s.flush()
	}
	s.flush()
}

// writeChunks writes lines in chunks that contain only whole lines.
func (s *Sink) writeChunks(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if n == 0 {
			// The first line alone is longer than maxWriteBytes.
			n = bytes.IndexByte(lines, '\n') + 1
		}
		_, _ = s.out.Write(lines[:n]) // There is nowhere else to report a failure.
		lines = lines[n:]
	}
}

// flush writes the buffered lines and a line with the number of dropped lines, if any.
func (s *Sink) flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = s.spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"[log] lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		s.writeChunks(lines)
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
}
