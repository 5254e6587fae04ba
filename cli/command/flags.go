package command

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"
)

// checkFlags fills in and checks the global flags.
func (a *app) checkFlags() error {
	if a.output != outputTable && a.output != outputJSON {
		output := a.output
		a.output = outputTable
		return &mistake{fmt.Sprintf("--output must be %s or %s, not %q", outputTable, outputJSON, output)}
	}
	if a.timeout <= 0 {
		return &mistake{"--timeout must be above zero"}
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
			return &mistake{fmt.Sprintf("%q is not the address of a server", a.servers[i])}
		}
		a.servers[i] = s
	}
	return nil
}

// args wraps a check of positional arguments so that its errors count as mistakes.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, list []string) error {
		if err := check(cmd, list); err != nil {
			return usageError(cmd, err)
		}
		return nil
	}
}

// requireFlags reports the named string flags that are empty.
func requireFlags(cmd *cobra.Command, names ...string) error {
	for _, name := range names {
		if cmd.Flag(name).Value.String() == "" {
			return usageError(cmd, fmt.Errorf("--%s is missing", name))
		}
	}
	return nil
}

// excludeFlags reports two flags that cannot be given together.
func excludeFlags(cmd *cobra.Command, a, b string) error {
	if cmd.Flags().Changed(a) && cmd.Flags().Changed(b) {
		return usageError(cmd, fmt.Errorf("--%s and --%s cannot be given together", a, b))
	}
	return nil
}

func usageError(cmd *cobra.Command, err error) error {
	return &mistake{fmt.Sprintf("%v; see `%s --help`", err, cmd.CommandPath())}
}
