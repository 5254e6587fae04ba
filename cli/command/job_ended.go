package command

import (
	"fmt"

	"rhubarbstall.example/api/oas"
)

// jobEnded reports a watched job that did not succeed.
type jobEnded struct {
	id    string
	state oas.JobState
}

func (j *jobEnded) Error() string {
	return fmt.Sprintf("job %s ended: %s", j.id, j.state)
}
