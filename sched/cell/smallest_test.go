package cell

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against calls to the advisor that name other runners than those with the most capacity:
// the selection must return what a full sort returns.
func TestSmallestElementsAreThoseOfAFullSort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		list := make([]int, random.IntN(300))
		for i := range list {
			list[i] = random.IntN(1 << 20)
		}
		k := random.IntN(120)
		sorted := slices.Sorted(slices.Values(list))
		got := sortSmallest(list, k, cmp.Compare[int])
		must.Eq(t, len(sorted[:min(k, len(sorted))]), len(got))
		must.True(t, slices.Equal(sorted[:len(got)], got))
		must.True(t, slices.Equal(sorted, slices.Sorted(slices.Values(list))))
	}
}
