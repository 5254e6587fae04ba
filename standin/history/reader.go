package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// maxLineBytes limits the length of one event.
const maxLineBytes = 4 << 20

// ReadFile returns the events of one file in file order. It ignores a last line without a
// newline, because the writer may have been killed while writing it.
func ReadFile(path string) ([]Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	if end := bytes.LastIndexByte(data, '\n'); end >= 0 {
		data = data[:end+1]
	} else {
		data = nil
	}
	var events []Event
	sc := bufio.NewScanner(bytes.NewReader(data))
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		events = append(events, e)
	}
	return events, sc.Err()
}

// ReadDir returns the events of all files *.jsonl in dir, ordered by time. Events of one file
// with equal times keep their order.
func ReadDir(dir string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	var all []Event
	for _, p := range paths {
		events, err := ReadFile(p)
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	Sort(all)
	return all, nil
}

// Sort orders events by time. Events with equal times keep their order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
}
