package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/sched/model"
)

// Guards against calls to the advisor that name other runners than those with the most capacity: the
// order must be that of a full sort, also after starts and expected starts have taken capacity.
func TestNamedRunnersAreThoseOfAFullSort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		c := New(time.Unix(1000, 0), Config{})
		c.free.largestCapacity = model.Resources{MilliCPU: 32000, MemoryMB: 1000}
		for i := range random.IntN(300) {
			r := &runner{index: i, prevUsable: random.IntN(5) > 0}
			r.info.ID = fmt.Sprintf("r%03d", i)
			r.available.MilliCPU = int64(random.IntN(40)-4) * 1000
			c.sortedRunners = append(c.sortedRunners, r)
		}
		c.nameOrder.build(c.sortedRunners, c.free.largestCapacity)
		for range 6 {
			var want []*runner
			for _, r := range c.sortedRunners {
				if r.prevUsable {
					want = append(want, r)
				}
			}
			slices.SortFunc(want, byCPUAfterExpected)
			// Sometimes more runners are asked for than there are: each is then named once.
			k := random.IntN(len(want) + 20)
			want = want[:min(k, len(want))]
			var got []*runner
			c.nameOrder.each(c.free.largestCapacity, func(r *runner) bool {
				if len(got) == k {
					return false
				}
				got = append(got, r)
				return true
			})
			must.True(t, slices.Equal(want, got))
			for _, r := range got {
				if random.IntN(2) == 0 {
					r.expectedMilliCPU += int64(random.IntN(9000))
				} else {
					r.available.MilliCPU -= int64(random.IntN(9000))
				}
			}
		}
	}
}
