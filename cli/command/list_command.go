package command

import (
	"context"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/oas"
)

// listCommand describes a subcommand that fetches a list and prints it.
type listCommand[T any] struct {
	use, short, empty string
	header            []string
	fetch             func(*oas.Client, context.Context) ([]T, error)
	addRow            func(*table, T)
}

func (l listCommand[T]) build(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   l.use,
		Short: l.short,
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			items, err := call(cmd.Context(), a, readOnly, func(ctx context.Context, c *oas.Client) ([]T, error) {
				return l.fetch(c, ctx)
			})
			if err != nil {
				return err
			}
			t := &table{header: l.header, empty: l.empty}
			for _, item := range items {
				l.addRow(t, item)
			}
			return a.print(items, t)
		},
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
