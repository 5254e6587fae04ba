package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

func newQueues(a *app) *cobra.Command {
	return listCommand[oas.Queue]{
		use: "queues", short: "List the request and task queues by kind", empty: "no queues",
		header: []string{"QUEUE", "KIND", "DEPARTMENT", "WAITING", "LIMIT", "OLDEST", "REFUSED"},
		fetch:  (*oas.Client).ListQueues,
		addRow: func(t *table, q oas.Queue) {
			limit, oldest := "-", "-"
			if v, ok := q.Limit.Get(); ok {
				limit = fmt.Sprint(v)
			}
			if v, ok := q.OldestWaitMs.Get(); ok {
				oldest = fmt.Sprintf("%.0f ms", v)
			}
			t.add(q.Name, q.Kind, q.Department.Or("-"), q.Waiting, limit, oldest, q.Refused.Or(0))
		},
	}.build(a)
}
