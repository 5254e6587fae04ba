package command

import (
	"fmt"

	"rhubarbstall.example/api/oas"
)

// jobEndedError reports that a watched job ended in a state other than succeeded.
type jobEndedError struct {
	id    string
	state oas.JobState
}

func (j *jobEndedError) Error() string {
	return fmt.Sprintf("job %s ended: %s", j.id, j.state)
}
