package replay

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTrial(t *testing.T) {
	for _, name := range Names() {
		tr := Generate(name)
		for _, k := range []string{"baseline", "engine"} {
			r, err := Run(tr, newEngine(k), 1<<51)
			r.Write(os.Stdout, name+"/"+k)
			must.NoError(t, err)
		}
	}
}
