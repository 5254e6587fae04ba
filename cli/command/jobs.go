package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newJobs(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "jobs",
		Short: "Submit, follow and cancel jobs",
		Args:  positionalArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newJobsSubmit(a), newJobsGet(a), newJobsList(a), newJobsCancel(a), newJobsWatch(a), newJobsWhy(a))
	return cmd
}

var jobHeader = []string{"JOB", "KIND", "DEPARTMENT", "TYPE", "STATE", "TASKS", "AVAILABILITY ZONE", "SUBMITTED"}

func addJob(t *table, j oas.Job) {
	t.add(j.ID, j.Kind, j.Department, j.Type, j.State, taskSummary(j), j.AvailabilityZone, j.SubmittedAt.UTC().Format(time.RFC3339))
}

// taskSummary returns the number of succeeded tasks out of all tasks, followed by
// the counts of the other states that are not zero.
func taskSummary(j oas.Job) string {
	c := j.Counts
	text := fmt.Sprintf("%d/%d", c.Succeeded, j.Tasks)
	for _, part := range []struct {
		name string
		n    int
	}{{"running", c.Running}, {"failed", c.Failed}, {"cancelled", c.Cancelled}, {"unknown", c.Unknown}} {
		if part.n > 0 {
			text += fmt.Sprintf(", %d %s", part.n, part.name)
		}
	}
	return text
}

// printJob prints one job.
func (a *app) printJob(j *oas.Job) error {
	t := &table{header: jobHeader}
	addJob(t, *j)
	if err := a.print(j, t); err != nil {
		return err
	}
	if account, ok := j.Account.Get(); ok {
		a.printNote("client account: %s", account)
	}
	if m := j.Message.Or(""); m != "" {
		a.printNote("%s", m)
	}
	return nil
}
