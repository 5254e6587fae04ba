package cellrunner

// LimitAccount makes it a violation if the runs of a client account occupy more than a size on all runners together.
// account returns the account of a task; empty for none.
func (f *Fleet) LimitAccount(limit Size, account func(task string) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountLimit, f.accountOf = limit, account
}

// checkAccount checks the limit of the account of a run that has started.
func (f *Fleet) checkAccount(r *Runner, x *run) {
	if f.accountOf == nil || f.accountOf(x.task) == "" {
		return
	}
	account := f.accountOf(x.task)
	var used Size
	for _, y := range f.active {
		if f.accountOf(y.task) == account {
			used.MilliCPU += y.size.MilliCPU
			used.MemoryMB += y.size.MemoryMB
			used.GPUs += y.size.GPUs
		}
	}
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	if over(used.MilliCPU, f.accountLimit.MilliCPU) || over(used.MemoryMB, f.accountLimit.MemoryMB) || over(used.GPUs, f.accountLimit.GPUs) {
		f.recordViolation("account %s uses %+v of %+v with task %s, execution %d on %s", account, used, f.accountLimit, x.task, x.execution, r.ID)
	}
}
