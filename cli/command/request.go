package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// maxRequestTimeout applies if neither --deadline nor --timeout is set. It is longer
// than the largest deadline that the API accepts, 10 minutes.
const maxRequestTimeout = 11 * time.Minute

// requestFlags holds the flags of `request`.
type requestFlags struct {
	kind, department, body, file, key string
	noRepeat                          bool
	deadline                          time.Duration
}

func newRequest(a *app) *cobra.Command {
	var f requestFlags
	cmd := &cobra.Command{
		Use:     "request",
		Short:   "Send one request to an upstream and print its answer",
		Example: "  rhubarbstall request --kind checks --department head_office/regina --body 'hello'",
		Args:    positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlags(cmd, "kind", "department"); err != nil {
				return err
			}
			if err := excludeFlags(cmd, "body", "file"); err != nil {
				return err
			}
			if f.deadline == 0 && !cmd.Flags().Changed("timeout") {
				a.timeout = maxRequestTimeout
			}
			return a.sendRequest(cmd.Context(), f)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.kind, "kind", "", "kind of work")
	flags.StringVar(&f.department, "department", "", "path of the department")
	flags.StringVar(&f.body, "body", "", "body of the request")
	flags.StringVar(&f.file, "file", "", "file with the body; - for standard input")
	flags.StringVar(&f.key, "key", "", "idempotency key")
	flags.BoolVar(&f.noRepeat, "no-repeat", false, "run at most once; needs --key")
	flags.DurationVar(&f.deadline, "deadline", 0, "time for the whole request (default: the deadline of the kind)")
	return cmd
}

func (a *app) sendRequest(ctx context.Context, f requestFlags) error {
	req := &oas.UpstreamRequest{Kind: f.kind, Department: f.department, Body: []byte(f.body)}
	if f.file != "" {
		body, err := a.readFile(f.file)
		if err != nil {
			return err
		}
		req.Body = body
	}
	if f.key != "" {
		req.IdempotencyKey = oas.NewOptString(f.key)
	}
	if f.noRepeat {
		req.NoRepeat = oas.NewOptBool(true)
	}
	if f.deadline < 0 {
		return &usageError{"--deadline must be above zero"}
	}
	if f.deadline > 0 {
		req.DeadlineMs = oas.NewOptInt64(max(1, f.deadline.Milliseconds()))
		a.timeout += f.deadline
	}
	answer, err := call(ctx, a, mutating, func(ctx context.Context, c *oas.Client) (*oas.Answer, error) {
		return c.SendRequest(ctx, req)
	})
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printJSON(answer)
	}
	repeated := ""
	if answer.Repeated.Or(false) {
		repeated = ", recorded answer of an earlier submission"
	}
	a.printNote("request %s: availability zone %s, upstream %s, hops %d, waited %.1f ms%s",
		answer.RequestID, answer.AvailabilityZone, answer.Upstream.Or("-"), answer.Hops, answer.WaitMs, repeated)
	_, err = fmt.Fprintf(a.env.Stdout, "%s\n", answer.Body)
	return err
}
