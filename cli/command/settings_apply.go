package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// applyFlags holds the flags of `settings apply`.
type applyFlags struct {
	dryRun   bool
	revision int64
	comment  string
	author   string
}

func newSettingsApply(a *app) *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check a file, show which values change in which departments, and put it into force",
		Long: "Check a file, show which values change in which departments, and put it into force.\n\n" +
			"The change is refused if another one was accepted since the revision that the\n" +
			"file is based on: --revision, else the first line that `settings get` writes,\n" +
			"else the revision in force at the start of the command.",
		Example: "  rhubarbstall settings get > settings.hujson\n" +
			"  rhubarbstall settings apply settings.hujson -m 'more patience for plans'",
		Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.applySettings(cmd, args[0], f)
		},
	}
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "check the file and show the changes without applying them")
	cmd.Flags().Int64Var(&f.revision, "revision", -1, "revision that the file is based on")
	cmd.Flags().StringVarP(&f.comment, "message", "m", "", "comment for the history")
	cmd.Flags().StringVar(&f.author, "author", "", "author for the history (default $"+envUser+")")
	return cmd
}

func (a *app) applySettings(cmd *cobra.Command, file string, f applyFlags) error {
	text, err := a.readFile(file)
	if err != nil {
		return err
	}
	text, fileRevision, ok := cutRevisionLine(text)
	change := &oas.SettingsChange{Document: string(text)}
	switch {
	case cmd.Flags().Changed("revision"):
		if f.revision < 0 {
			return &usageError{"--revision must not be negative"}
		}
		change.ExpectedRevision = f.revision
	case ok:
		change.ExpectedRevision = fileRevision
	default:
		current, err := a.currentSettings(cmd.Context())
		if err != nil {
			return err
		}
		change.ExpectedRevision = current.Revision
		a.printNote("no revision given; using revision %d, which is in force", current.Revision)
	}
	if f.author == "" {
		f.author = a.env.Getenv(envUser)
	}
	if f.author != "" {
		change.Author = oas.NewOptString(f.author)
	}
	if f.comment != "" {
		change.Comment = oas.NewOptString(f.comment)
	}
	result, err := a.dryRun(cmd.Context(), change)
	if err != nil || f.dryRun {
		if err != nil {
			return err
		}
		return a.printChanges(result)
	}
	return a.applyChange(cmd.Context(), change, result)
}

// applyChange stores a change that passed the dry run and prints its effects.
func (a *app) applyChange(ctx context.Context, change *oas.SettingsChange, preview *oas.SettingsResult) error {
	if a.output != outputJSON {
		if err := a.printChanges(preview); err != nil {
			return err
		}
	}
	result, err := call(ctx, a, mutating, func(ctx context.Context, c *oas.Client) (*oas.SettingsResult, error) {
		return c.ApplySettings(ctx, change)
	})
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printChanges(result)
	}
	_, err = fmt.Fprintf(a.env.Stdout, "revision %d is accepted\n", result.Revision)
	return err
}
