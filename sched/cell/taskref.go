package cell

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// TaskRef identifies a task.
type TaskRef struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	var buffer [48]byte
	b := append(append(buffer[:0], r.Job...), '.')
	b = append(strconv.AppendInt(b, int64(r.Occurrence), 10), '.')
	b = append(strconv.AppendInt(b, int64(r.Step), 10), '.')
	return string(strconv.AppendInt(b, int64(r.Index), 10))
}

// compare orders tasks by job, occurrence, step and index.
func (r TaskRef) compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Occurrence, o.Occurrence), cmp.Compare(r.Step, o.Step), cmp.Compare(r.Index, o.Index))
}

// ParseTaskRef parses the form that String returns.
func ParseTaskRef(s string) (TaskRef, error) {
	if parts := strings.Count(s, ".") + 1; parts != 4 {
		return TaskRef{}, fmt.Errorf("task name %q has %d parts, not 4", s, parts)
	}
	job, rest, _ := strings.Cut(s, ".")
	var n [3]int
	for i := range n {
		var p string
		p, rest, _ = strings.Cut(rest, ".")
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskRef{}, fmt.Errorf("task name %q: part %d is not a number", s, i+2)
		}
		n[i] = v
	}
	return TaskRef{Job: job, Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
