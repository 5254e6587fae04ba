package cell

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskRef names a task.
type TaskRef struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form ID.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// ParseTaskRef reads the form that String returns.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskRef{}, fmt.Errorf("task name %q has %d parts, not 4", s, len(parts))
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskRef{}, fmt.Errorf("task name %q: part %d is not a number", s, i+2)
		}
		n[i] = v
	}
	return TaskRef{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
