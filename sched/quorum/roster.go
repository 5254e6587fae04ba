package quorum

import (
	"fmt"
	"maps"
	"slices"
)

// Platform is the voter ID of the platform.
const Platform = "@platform"

// WorkerWeight is the weight of each worker's vote.
const WorkerWeight = 2

// Roster is the list of voters and observers of a zone. It is immutable: methods
// that change it return a new roster.
type Roster struct {
	Revision uint32 `json:"revision"`
	// Workers are the workers with a vote, sorted.
	Workers        []string `json:"workers"`
	PlatformWeight int      `json:"platform_weight"`
	// Observers are workers that may run tasks but have no vote, sorted. One step may
	// add or remove any number of them, because no weight changes; each becomes a
	// voter in a separate step. Without observers, a zone whose workers were replaced
	// could use less than one new worker a second.
	Observers []string `json:"observers,omitempty"`
	// Instances holds the last known process instance of each voting worker. A worker
	// with a different instance has restarted and lost the epochs that it granted.
	Instances map[string]string `json:"instances,omitempty"`
}

// NewRoster returns the first roster of a zone.
func NewRoster(workers []string) Roster {
	sorted := slices.Clone(workers)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return Roster{Revision: 1, Workers: sorted, PlatformWeight: PlatformWeightFor(len(sorted))}
}

// PlatformWeightFor returns the weight of the platform's vote among n workers: n, or
// n+1 if n is odd, because with odd weights two adjacent rosters can have disjoint
// majorities. It is at least 2, so that the platform is the only voter if there are
// no workers.
func PlatformWeightFor(n int) int {
	return max(2, n+n%2)
}

// Validate returns an error if the platform's weight is not a positive even number,
// if the workers are not sorted, or if a worker is both a voter and an observer.
func (r Roster) Validate() error {
	if r.PlatformWeight < 2 || r.PlatformWeight%2 != 0 {
		return fmt.Errorf("platform weight %d is not a positive even number", r.PlatformWeight)
	}
	if !slices.IsSorted(r.Workers) || !slices.IsSorted(r.Observers) {
		return fmt.Errorf("voters or observers of the roster are not sorted")
	}
	for _, w := range r.Observers {
		if r.HasVoter(w) {
			return fmt.Errorf("worker %q is both a voter and an observer", w)
		}
	}
	return nil
}

// Total returns the weight of all voters.
func (r Roster) Total() int {
	return r.PlatformWeight + WorkerWeight*len(r.Workers)
}

// Weight returns the weight of a voter, zero if it has no vote.
func (r Roster) Weight(voter string) int {
	if voter == Platform {
		return r.PlatformWeight
	}
	if r.HasVoter(voter) {
		return WorkerWeight
	}
	return 0
}

// HasVoter reports whether a worker has a vote.
func (r Roster) HasVoter(worker string) bool {
	_, ok := slices.BinarySearch(r.Workers, worker)
	return ok
}

// HasWorker reports whether a worker is a voter or an observer of the roster.
func (r Roster) HasWorker(worker string) bool {
	_, ok := slices.BinarySearch(r.Observers, worker)
	return ok || r.HasVoter(worker)
}

// AllWorkers returns the workers that may run tasks: voters and observers.
func (r Roster) AllWorkers() []string {
	return append(slices.Clone(r.Workers), r.Observers...)
}

// IsMajority reports whether weight is more than half of the total weight.
func (r Roster) IsMajority(weight int) bool {
	return 2*weight > r.Total()
}

// WithVoter returns the roster with one more voter, which is no longer an observer.
func (r Roster) WithVoter(worker string) Roster {
	i, ok := slices.BinarySearch(r.Workers, worker)
	if ok {
		return r
	}
	r.Workers = slices.Insert(slices.Clone(r.Workers), i, worker)
	r.Observers = slices.DeleteFunc(slices.Clone(r.Observers), func(w string) bool { return w == worker })
	r.Revision++
	return r
}

// withObservers returns the roster whose observers are the wanted workers that have
// no vote. It returns false if the observers are the same as before.
func (r Roster) withObservers(wanted []string) (Roster, bool) {
	var observers []string
	for _, w := range wanted {
		if !r.HasVoter(w) {
			observers = append(observers, w)
		}
	}
	slices.Sort(observers)
	observers = slices.Compact(observers)
	if slices.Equal(observers, r.Observers) {
		return r, false
	}
	r.Observers = observers
	r.Revision++
	return r, true
}

// WithoutVoter returns the roster without the given voter.
func (r Roster) WithoutVoter(worker string) Roster {
	i, ok := slices.BinarySearch(r.Workers, worker)
	if !ok {
		return r
	}
	r.Workers = slices.Delete(slices.Clone(r.Workers), i, i+1)
	r.Instances = maps.Clone(r.Instances)
	delete(r.Instances, worker)
	r.Revision++
	return r
}

// WithInstances returns the roster with the given instances of its voters, and false
// if none of them is new. The weights do not change, so that one step may update any
// number of instances.
func (r Roster) WithInstances(instances map[string]string) (Roster, bool) {
	changed := false
	next := maps.Clone(r.Instances)
	if next == nil {
		next = make(map[string]string)
	}
	for w, instance := range instances {
		if r.HasVoter(w) && instance != "" && next[w] != instance {
			next[w], changed = instance, true
		}
	}
	if !changed {
		return r, false
	}
	r.Instances = next
	r.Revision++
	return r, true
}

// WithInstancesSameRevision is WithInstances without an increase of the revision. It
// is used for a roster that is not stored yet: if a new voter were stored without
// its instance, a candidate without the platform's vote could not count its vote.
func (r Roster) WithInstancesSameRevision(instances map[string]string) Roster {
	next, changed := r.WithInstances(instances)
	if !changed {
		return r
	}
	next.Revision = r.Revision
	return next
}

// NextStep returns the roster one step closer to the wanted workers, and false if
// nothing is left to change. First, all new workers become observers in one step.
// Next, the platform's weight is corrected, so that it stays close to
// PlatformWeightFor the number of voters. Then voters are added and removed one by
// one.
func (r Roster) NextStep(wanted []string) (Roster, bool) {
	if next, ok := r.withObservers(wanted); ok {
		return next, true
	}
	switch target := PlatformWeightFor(len(r.Workers)); {
	case r.PlatformWeight < target:
		r.PlatformWeight += 2
		r.Revision++
		return r, true
	case r.PlatformWeight > target:
		r.PlatformWeight -= 2
		r.Revision++
		return r, true
	}
	want := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		want[w] = true
		if !r.HasVoter(w) {
			return r.WithVoter(w), true
		}
	}
	for _, w := range r.Workers {
		if !want[w] {
			return r.WithoutVoter(w), true
		}
	}
	return r, false
}
