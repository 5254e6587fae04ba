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
	// maxLine bounds a line of a trace, in bytes.
	maxLine = 1 << 20
	// The limits below keep a damaged trace from exhausting memory or overflowing
	// a sum of resources.
	maxTasks    = 100_000
	maxResource = 1 << 40
	maxTimeMS   = 1 << 40
)

// Decode reads a trace in JSON lines. The error names the line.
func Decode(r io.Reader) (*Trace, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLine)
	t := &Trace{}
	last := int64(0)
	line := 0
	for in.Scan() {
		line++
		if line == 1 {
			if err := strict(in.Bytes(), &t.Header); err != nil {
				return nil, fmt.Errorf("line 1: %w", err)
			}
			if err := t.Header.check(); err != nil {
				return nil, fmt.Errorf("line 1: %w", err)
			}
			continue
		}
		var e Event
		if err := strict(in.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		if err := e.check(last); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		last = e.AtMS
		t.Events = append(t.Events, e)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", line+1, err)
	}
	if line == 0 {
		return nil, errors.New("the trace is empty")
	}
	return t, nil
}

func strict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("data after the value")
	}
	return nil
}

func inRange(xs ...int64) bool {
	for _, x := range xs {
		if x < 0 || x > maxResource {
			return false
		}
	}
	return true
}

func (h *Header) check() error {
	for _, w := range h.Workers {
		if w.ID == "" || !inRange(w.MilliCPU, w.MemoryMB, w.Accelerators) {
			return fmt.Errorf("worker %q has no identity or resources out of range", w.ID)
		}
	}
	for _, k := range h.Kinds {
		if k.PatienceMS < 0 || k.PatienceMS > maxTimeMS || k.FloorPercent < 0 || k.FloorPercent > 100 {
			return fmt.Errorf("kind %q has a patience or floor out of range", k.Name)
		}
	}
	return nil
}

func (e *Event) check(last int64) error {
	if e.AtMS < last || e.AtMS > maxTimeMS {
		return fmt.Errorf("time %d is before the previous line or out of range", e.AtMS)
	}
	set := 0
	for _, x := range []bool{e.Job != nil, e.Cancel != "", e.Down != "", e.Up != ""} {
		if x {
			set++
		}
	}
	if set != 1 {
		return errors.New("exactly one of job, cancel, down and up is expected")
	}
	if e.Job == nil {
		return nil
	}
	j := e.Job
	switch {
	case j.ID == "" || j.Tasks < 1 || j.Tasks > maxTasks:
		return fmt.Errorf("job %q has no identity or %d tasks", j.ID, j.Tasks)
	case !inRange(j.MilliCPU, j.MemoryMB, j.Accelerators, j.UsedMemoryMB):
		return fmt.Errorf("job %q has resources out of range", j.ID)
	case j.RunMS < 0 || j.RunMS > maxTimeMS || j.DeclaredMS < 0 || j.DeclaredMS > maxTimeMS || j.SpreadPercent < 0 || j.SpreadPercent > 100:
		return fmt.Errorf("job %q has times out of range", j.ID)
	case j.Type != model.Batch && j.Type != model.Gang && j.Type != model.Service:
		return fmt.Errorf("job %q has the unknown type %q", j.ID, j.Type)
	}
	return nil
}

// Encode writes a trace in JSON lines.
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
