package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var bin string

// TestMain builds the programs of the scenarios, unless RHUBARBSTALL_BIN names
// a directory that holds them.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		if bin = os.Getenv("RHUBARBSTALL_BIN"); bin != "" {
			return m.Run()
		}
		var err error
		if bin, err = os.MkdirTemp("", "scenario-bin-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(bin)
		build := exec.Command("go", "build", "-o", bin+"/",
			"rhubarbstall.example/daemon/cmd/rhubarbstalld", "rhubarbstall.example/standin/cmd/...")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// Guards against a harness that does not start, fault or check the stand-ins.
func TestStandIns(t *testing.T) {
	testscript.Run(t, Params(bin, "testdata/standins"))
}

// Guards against a deployment that breaks a promise when its parts fail; each
// script says which.
func TestScenarios(t *testing.T) {
	testscript.Run(t, Params(bin, "testdata/daemon"))
}
