package baseline

import "rhubarbstall.example/sched/model"

// unfitSizes lists task sizes that fit on no worker in the present round. Free
// resources only shrink during a round, so a larger size does not fit either.
type unfitSizes struct {
	list []model.Resources
}

// maxUnfitSizes bounds the cost of a lookup. Further sizes are not listed, so that
// their jobs are tried on all workers.
const maxUnfitSizes = 16

func (s *unfitSizes) add(r model.Resources) {
	if len(s.list) < maxUnfitSizes {
		s.list = append(s.list, r)
	}
}

// cannotFit reports whether r is at least as large as a listed size.
func (s *unfitSizes) cannotFit(r model.Resources) bool {
	for _, f := range s.list {
		if f.Fits(r) {
			return true
		}
	}
	return false
}
