package history

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Writer appends events to a file. A nil Writer discards them. It writes each event with one
// write call, so that a killed process leaves complete lines. It is safe for concurrent use.
type Writer struct {
	node     string
	instance string
	mu       sync.Mutex
	file     *os.File
}

// Open returns a writer that appends to the file at path, or nil if path is empty. The writer
// sets node and instance in events that have no node.
func Open(path, node, instance string) (*Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open history: %w", err)
	}
	return &Writer{node: node, instance: instance, file: f}, nil
}

// Write appends an event. It sets a missing At to the current time, and Node and Instance if
// Node is missing.
func (w *Writer) Write(e Event) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	if e.Node == "" {
		e.Node = w.node
		e.Instance = w.instance
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err) // Event holds only types that marshal.
	}
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		fmt.Fprintf(os.Stderr, "write history: %v\n", err)
	}
}

// Close closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return w.file.Close()
}
