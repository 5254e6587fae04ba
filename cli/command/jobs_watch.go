package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// maxConsecutiveReadFailures is the number of consecutive reads that may fail while
// a job is watched, so that the replacement of an entry VM does not end the watch.
const maxConsecutiveReadFailures = 5

func newJobsWatch(a *app) *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "watch JOB",
		Short: "Print a line for each change of a job until it ends",
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if interval <= 0 {
				return &usageError{"--interval must be above zero"}
			}
			return a.watchJob(cmd.Context(), args[0], interval)
		},
	}
	cmd.Flags().DurationVar(&interval, "interval", time.Second, "time between two reads of the job")
	return cmd
}

func (a *app) watchJob(ctx context.Context, id string, interval time.Duration) error {
	last, failures := "", 0
	for {
		job, err := a.getJob(ctx, id)
		var n *noAnswerError
		if errors.As(err, &n) && ctx.Err() == nil && failures < maxConsecutiveReadFailures {
			failures++
		} else if err != nil {
			return err
		} else {
			failures = 0
			if line := a.jobLine(job); line != last {
				last = line
				if _, err := fmt.Fprintln(a.env.Stdout, line); err != nil {
					return err
				}
			}
			if ended, err := checkEnded(job); ended {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

func (a *app) jobLine(j *oas.Job) string {
	if a.output == outputJSON {
		text, _ := json.Marshal(j)
		return string(text)
	}
	line := fmt.Sprintf("%s %s, tasks %s", j.ID, j.State, taskSummary(*j))
	if m := j.Message.Or(""); m != "" {
		line += ": " + m
	}
	return line
}

// checkEnded reports whether a job has ended. It returns an error if the job ended
// without success.
func checkEnded(j *oas.Job) (bool, error) {
	switch j.State {
	case oas.JobStatePending, oas.JobStateRunning:
		return false, nil
	case oas.JobStateSucceeded:
		return true, nil
	default:
		return true, &jobEndedError{id: j.ID, state: j.State}
	}
}
