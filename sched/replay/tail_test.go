package replay

import (
	"fmt"
	"os"
	"testing"
)

func TestTail(t *testing.T) {
	tr := Generate(os.Getenv("T"))
	r, err := Run(tr, newEngine("engine"), 1<<51)
	fmt.Println(err, r.Packing, r.BoundMS/1000, r.MakespanMS/1000)
	for at := int64(15000_000); at < r.MakespanMS; at += 300_000 {
		var tot volume
		for _, i := range r.intervals {
			tot.add(i.job.spec.Need(), min(i.to, at+300_000)-max(i.from, at))
		}
		fmt.Printf("%d %.3f\n", at/1000, tot.cpu/float64(tr.Capacity().MilliCPU)/300_000)
	}
	for _, i := range r.intervals {
		if i.to > r.MakespanMS-900_000 {
			fmt.Println(i.job.spec.ID, i.job.spec.Department, i.job.spec.MilliCPU, "at", i.job.at/1000, "run", i.job.spec.RunMS/1000, "from", i.from/1000, "to", i.to/1000)
		}
	}
}
