package command

import (
	"time"

	"github.com/spf13/cobra"
)

// defaultTimeout is the default of --timeout, which limits one call to one server. A
// request with --deadline adds its deadline.
const defaultTimeout = 20 * time.Second

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "rhubarbstall",
		Short: "Operate a rhubarbstall cluster",
		Long: "Operate a rhubarbstall cluster.\n\n" +
			"Every command talks to an entry VM. Set its address with --server or " + envServer + ".",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          positionalArgs(cobra.NoArgs),
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return a.checkFlags()
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetArgs(a.env.Args)
	root.SetIn(a.env.Stdin)
	root.SetOut(a.env.Stdout)
	root.SetErr(a.env.Stderr)
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error { return newUsageError(cmd, err) })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.servers, "server", nil, "address of an entry VM; repeat it or separate with commas (default "+defaultServer+")")
	flags.StringVarP(&a.output, "output", "o", outputTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of one call")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		newSettings(a), newJobs(a), newRequest(a), newWorkers(a), newUpstreams(a),
		newVMs(a), newZones(a), newQueues(a), newInterference(a), newConfig(a), newVersion(a), newExitCodes(),
	)
	return root
}
