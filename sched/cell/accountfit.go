package cell

import "fmt"

// LimitError reports that a gang needs more than the limit of its account, so that it can never run.
type LimitError struct {
	Account, Resource string
	Step, Tasks       int
	Need, Limit       int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("step %d starts its %d tasks together, which need %d of %s; the limit of the client account %s is %d", e.Step, e.Tasks, e.Need, e.Resource, e.Account, e.Limit)
}

// CheckFits returns a *LimitError for the first step of a job that can never run because of the limit. Tasks that do not
// start together run one after the other, and one that is larger than the limit runs while less than half is in use.
func (a *ClientAccount) CheckFits(spec *Spec) error {
	for i := range spec.Steps {
		if e := a.neverFits(&spec.Steps[i], i); e != nil {
			return e
		}
	}
	return nil
}

func (a *ClientAccount) neverFits(st *Step, index int) *LimitError {
	if !st.Gang || st.Count < 2 {
		return nil
	}
	need := st.Size.Scale(int64(st.Count))
	for _, x := range [...]struct {
		resource    string
		need, limit int64
	}{
		{"cpu (milli-CPU)", need.MilliCPU, a.Limit.MilliCPU},
		{"memory (MB)", need.MemoryMB, a.Limit.MemoryMB},
		{"accelerators", need.Accelerators, a.Limit.Accelerators},
	} {
		if x.limit > 0 && x.need > x.limit {
			return &LimitError{Account: a.Name, Resource: x.resource, Step: index, Tasks: st.Count, Need: x.need, Limit: x.limit}
		}
	}
	return nil
}
