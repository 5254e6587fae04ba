package replay

import (
	"fmt"
	"testing"
)

func TestDiag(t *testing.T) {
	for _, name := range Names() {
		tr := Generate(name)
		for _, k := range []string{"baseline", "engine"} {
			r, err := Run(tr, newEngine(k), 1<<51)
			fmt.Println(name, k, err, r.Packing, r.Jain)
			for at := int64(0); at < r.MakespanMS; at += 1200_000 {
				var v, tot volume
				kinds := ""
				for _, kd := range tr.Kinds {
					kinds += fmt.Sprintf(" %s=%.2f", kd.Name, r.Goodput(kd.Name, at, at+1200_000))
				}
				for _, i := range r.intervals {
					ms := min(i.to, at+1200_000) - max(i.from, at)
					tot.add(i.job.spec.Need(), ms)
					if i.useful {
						v.add(i.job.spec.Need(), ms)
					}
				}
				c := tr.Capacity()
				f := float64(1200_000)
				fmt.Printf("  %5d cpu %.3f mem %.3f all %.3f %s\n", at/1000, v.cpu/float64(c.MilliCPU)/f, v.memory/float64(c.MemoryMB)/f, tot.share(c, 1200_000), kinds)
			}
		}
	}
}
