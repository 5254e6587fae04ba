package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// submitFlags holds the flags of `jobs submit`.
type submitFlags struct {
	kind, department, jobType, payload, file, key, zone string
	tasks                                               int
	milliCPU, memoryMB, accelerators                    int64
	run                                                 time.Duration
	checkpointing, noRepeat                             bool
}

func newJobsSubmit(a *app) *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job; returns once the job is stored",
		Example: "  rhubarbstall jobs submit --kind plans --department head_office --milli-cpu 2000 --memory 4096 \\\n" +
			"    --tasks 10 --run 2h --key plans-2026-12-04",
		Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlags(cmd, "kind", "department"); err != nil {
				return err
			}
			if err := excludeFlags(cmd, "payload", "file"); err != nil {
				return err
			}
			spec, err := f.spec(a)
			if err != nil {
				return err
			}
			job, err := call(cmd.Context(), a, mutating, func(ctx context.Context, c *oas.Client) (*oas.Job, error) {
				return c.SubmitJob(ctx, spec)
			})
			if err != nil {
				return err
			}
			return a.printJob(job)
		},
	}
	f.register(cmd)
	return cmd
}

func (f *submitFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.kind, "kind", "", "kind of work")
	flags.StringVar(&f.department, "department", "", "path of the department")
	flags.StringVar(&f.jobType, "type", string(oas.JobTypeBatch), "batch, gang (all tasks start at the same time) or service")
	flags.IntVar(&f.tasks, "tasks", 1, "number of tasks")
	flags.Int64Var(&f.milliCPU, "milli-cpu", 1000, "CPU of a task, in thousandths of a core")
	flags.Int64Var(&f.memoryMB, "memory", 1024, "memory of a task, in MB")
	flags.Int64Var(&f.accelerators, "accelerators", 0, "accelerators of a task")
	flags.DurationVar(&f.run, "run", 0, "expected run time of a task")
	flags.StringVar(&f.payload, "payload", "", "payload for the tasks")
	flags.StringVar(&f.file, "file", "", "file with the payload; - for standard input")
	flags.StringVar(&f.key, "key", "", "idempotency key; the same key gives the same job")
	flags.StringVar(&f.zone, "zone", "", "home availability zone; chosen by the server if empty")
	flags.BoolVar(&f.checkpointing, "checkpointing", false, "the tasks can be checkpointed")
	flags.BoolVar(&f.noRepeat, "no-repeat", false, "a task whose outcome is lost is not run again")
	_ = cmd.RegisterFlagCompletionFunc("type", cobra.FixedCompletions([]string{"batch", "gang", "service"}, cobra.ShellCompDirectiveNoFileComp))
}

func (f *submitFlags) spec(a *app) (*oas.JobSpec, error) {
	spec := &oas.JobSpec{
		Kind: f.kind, Department: f.department, Payload: []byte(f.payload),
		Type: oas.NewOptJobType(oas.JobType(f.jobType)), Tasks: oas.NewOptInt(f.tasks),
		Size: oas.Size{MilliCPU: f.milliCPU, MemoryMB: f.memoryMB},
	}
	if f.file != "" {
		payload, err := a.readFile(f.file)
		if err != nil {
			return nil, err
		}
		spec.Payload = payload
	}
	if f.accelerators != 0 {
		spec.Size.Accelerators = oas.NewOptInt64(f.accelerators)
	}
	if f.run > 0 {
		spec.RunMs = oas.NewOptInt64(f.run.Milliseconds())
	}
	if f.key != "" {
		spec.IdempotencyKey = oas.NewOptString(f.key)
	}
	if f.zone != "" {
		spec.AvailabilityZone = oas.NewOptString(f.zone)
	}
	if f.checkpointing {
		spec.Checkpointing = oas.NewOptBool(true)
	}
	if f.noRepeat {
		spec.NoRepeat = oas.NewOptBool(true)
	}
	return spec, nil
}
