package command

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the release; the linker may set it with -X.
var version = "dev"

// build is the version as printed with -o json.
type build struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this client",
		Args:  args(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			b := build{Version: version}
			if info, ok := debug.ReadBuildInfo(); ok {
				b.Go = info.GoVersion
			}
			t := &table{}
			t.add("rhubarbstall "+b.Version, b.Go)
			return a.print(b, t)
		},
	}
}
