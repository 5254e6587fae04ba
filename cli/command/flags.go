package command

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"
)

// checkFlags checks the global flags and sets the addresses of the servers from the
// environment or the default if --server is missing.
func (a *app) checkFlags() error {
	if a.output != outputTable && a.output != outputJSON {
		output := a.output
		a.output = outputTable
		return &usageError{fmt.Sprintf("--output must be %s or %s, not %q", outputTable, outputJSON, output)}
	}
	if a.timeout <= 0 {
		return &usageError{"--timeout must be above zero"}
	}
	if len(a.servers) == 0 {
		for _, s := range strings.Split(a.env.Getenv(envServer), ",") {
			if s = strings.TrimSpace(s); s != "" {
				a.servers = append(a.servers, s)
			}
		}
	}
	if len(a.servers) == 0 {
		a.servers = []string{defaultServer}
	}
	for i, s := range a.servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return &usageError{fmt.Sprintf("%q is not the address of a server", a.servers[i])}
		}
		a.servers[i] = s
	}
	return nil
}

// positionalArgs wraps a check of positional arguments so that it returns usage errors.
func positionalArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return newUsageError(cmd, err)
		}
		return nil
	}
}

// requireFlags returns an error if one of the named string flags is empty.
func requireFlags(cmd *cobra.Command, names ...string) error {
	for _, name := range names {
		if cmd.Flag(name).Value.String() == "" {
			return newUsageError(cmd, fmt.Errorf("--%s is missing", name))
		}
	}
	return nil
}

// excludeFlags returns an error if both flags are set.
func excludeFlags(cmd *cobra.Command, a, b string) error {
	if cmd.Flags().Changed(a) && cmd.Flags().Changed(b) {
		return newUsageError(cmd, fmt.Errorf("--%s and --%s cannot be given together", a, b))
	}
	return nil
}

func newUsageError(cmd *cobra.Command, err error) error {
	return &usageError{fmt.Sprintf("%v; see `%s --help`", err, cmd.CommandPath())}
}
