package cellsched

// endWaiters holds the runner loops that wait until every end that their runner reported is
// stored. A loop is woken only when the ends of its own runner are stored: with hundreds of
// runners and tens of writes a second, waking all loops after each write would make most of
// them poll their runner needlessly. It is guarded by the scheduler's lock.
type endWaiters struct {
	byRunner map[string]chan struct{}
}

func newEndWaiters() endWaiters { return endWaiters{byRunner: make(map[string]chan struct{})} }

// subscribe returns a channel that is closed once all ends of a runner are stored.
func (w endWaiters) subscribe(runner string) chan struct{} {
	c := w.byRunner[runner]
	if c == nil {
		c = make(chan struct{})
		w.byRunner[runner] = c
	}
	return c
}

// notify closes the channels of the runners for which allStored returns true.
func (w endWaiters) notify(allStored func(runner string) bool) {
	for runner, c := range w.byRunner {
		if allStored(runner) {
			close(c)
			delete(w.byRunner, runner)
		}
	}
}
