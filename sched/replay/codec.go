package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"rhubarbstall.example/sched/model"
)

const (
	// maxLineBytes is the maximum length of a line of a trace.
	maxLineBytes = 1 << 20
	// The following limits keep a damaged trace from exhausting memory or overflowing
	// a sum of resources.
	maxTasks    = 100_000
	maxResource = 1 << 40
	maxTimeMS   = 1 << 40
)

// Decode reads a trace in the JSON Lines format. Errors contain the line number.
func Decode(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	t := &Trace{}
	lastMS := int64(0)
	line := 0
	for scanner.Scan() {
		line++
		if line == 1 {
			if err := decodeStrict(scanner.Bytes(), &t.Header); err != nil {
				return nil, fmt.Errorf("line 1: %w", err)
			}
			if err := t.Header.validate(); err != nil {
				return nil, fmt.Errorf("line 1: %w", err)
			}
			continue
		}
		var e Event
		if err := decodeStrict(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if err := e.validate(lastMS); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		lastMS = e.AtMS
		t.Events = append(t.Events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", line+1, err)
	}
	if line == 0 {
		return nil, errors.New("trace has no header line")
	}
	return t, nil
}

// decodeStrict decodes a single JSON value and rejects unknown fields and trailing
// data.
func decodeStrict(data []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if d.More() {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// inRange reports whether all resource amounts are from zero to maxResource.
func inRange(values ...int64) bool {
	for _, value := range values {
		if value < 0 || value > maxResource {
			return false
		}
	}
	return true
}

func (h *Header) validate() error {
	for _, w := range h.Workers {
		if w.ID == "" || !inRange(w.MilliCPU, w.MemoryMB, w.Accelerators) {
			return fmt.Errorf("worker %q has no ID, or its resources are out of range", w.ID)
		}
	}
	for _, k := range h.Kinds {
		if k.PatienceMS < 0 || k.PatienceMS > maxTimeMS || k.FloorPercent < 0 || k.FloorPercent > 100 {
			return fmt.Errorf("patience or floor of kind %q is out of range", k.Name)
		}
	}
	return nil
}

func (e *Event) validate(lastMS int64) error {
	if e.AtMS < lastMS || e.AtMS > maxTimeMS {
		return fmt.Errorf("at_ms %d is earlier than that of the previous line or out of range", e.AtMS)
	}
	setFields := 0
	for _, value := range []bool{e.Job != nil, e.Cancel != "", e.Down != "", e.Up != ""} {
		if value {
			setFields++
		}
	}
	if setFields != 1 {
		return errors.New("event must have exactly one of job, cancel, down and up")
	}
	if e.Job == nil {
		return nil
	}
	j := e.Job
	switch {
	case j.ID == "" || j.Tasks < 1 || j.Tasks > maxTasks:
		return fmt.Errorf("job %q has no ID, or its number of tasks %d is out of range", j.ID, j.Tasks)
	case !inRange(j.MilliCPU, j.MemoryMB, j.Accelerators, j.UsedMemoryMB):
		return fmt.Errorf("resources of job %q are out of range", j.ID)
	case j.RunMS < 0 || j.RunMS > maxTimeMS || j.DeclaredMS < 0 || j.DeclaredMS > maxTimeMS || j.SpreadPercent < 0 || j.SpreadPercent > 100:
		return fmt.Errorf("a time or the spread of job %q is out of range", j.ID)
	case j.Type != model.Batch && j.Type != model.Gang && j.Type != model.Service:
		return fmt.Errorf("job %q has unknown type %q", j.ID, j.Type)
	}
	return nil
}

// Encode writes a trace in the JSON Lines format.
func Encode(w io.Writer, t *Trace) error {
	out := json.NewEncoder(w)
	if err := out.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Events {
		if err := out.Encode(t.Events[i]); err != nil {
			return err
		}
	}
	return nil
}
