package play

import (
	"fmt"
	"strconv"
	"strings"
)

// taskName is the name of a task in parts.
type taskName struct {
	job                     string
	occurrence, step, index int
}

// parseTask splits the name of a task, ID.K.STEP.INDEX. ok is false if it has another form.
func parseTask(name string) (t taskName, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return t, false
	}
	t.job = parts[0]
	for i, n := range []*int{&t.occurrence, &t.step, &t.index} {
		var err error
		if *n, err = strconv.Atoi(parts[i+1]); err != nil {
			return t, false
		}
	}
	return t, true
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

// stepKey names the step of a task in its occurrence.
func (t taskName) stepKey() string { return fmt.Sprintf("%s.%d.%d", t.job, t.occurrence, t.step) }
