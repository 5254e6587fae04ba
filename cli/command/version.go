package command

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the version of the release, which the linker sets with -X.
var version = "dev"

// versionInfo is the form in which -o json prints the version.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this client",
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			b := versionInfo{Version: version}
			if info, ok := debug.ReadBuildInfo(); ok {
				b.Go = info.GoVersion
			}
			t := &table{}
			t.add("rhubarbstall "+b.Version, b.Go)
			return a.print(b, t)
		},
	}
}
