package replay

import (
	"fmt"
	"sync"
"os"
	"testing"
)

func TestExp(t *testing.T) {
	var wg sync.WaitGroup
	out := make([]string, 4)
	for i, name := range Names() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tr := Generate(name)
			r, err := Run(tr, newEngine(os.Getenv("E")), 1<<51)
			urgent := tr.Kinds[3].Name
			out[i] = fmt.Sprintf("%s %v packing %.4f steady(1200-14400) %.4f jain %.4f urgent p50 %d p99 %d p99.9 %d stopped %d gang/acc p99 %d", name, err, r.Packing, func() float64 {
				var v volume
				for _, iv := range r.intervals {
					v.add(iv.job.spec.Need(), min(iv.to, 14400_000)-max(iv.from, 1200_000))
				}
				return v.share(tr.Capacity(), 13200_000)
			}(), r.Jain, r.WaitMS(urgent, 50), r.WaitMS(urgent, 99), r.WaitMS(urgent, 99.9), r.Stopped, r.WaitMS(tr.Kinds[2].Name, 99))
		}()
	}
	wg.Wait()
	for _, s := range out {
		if s != "" {
			fmt.Println(s)
		}
	}
}
