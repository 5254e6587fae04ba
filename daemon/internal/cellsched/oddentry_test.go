package cellsched

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

// oddEntries are entries of another writer among those of the runners.
func oddEntries() map[string][]byte {
	entry := func(address, rest string) []byte {
		return []byte(`{"service":"another","address":"` + address + `","state":"ready"` + rest + `}`)
	}
	return map[string][]byte{
		"deep":        []byte(strings.Repeat(`{"a":`, 100_000)),
		"deeplabels":  entry("nowhere:1", `,"labels":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"number":      entry("nowhere:1", `,"capacity":{"cpu":1e300},"born":1e300`),
		"largest":     entry("nowhere:1", `,"capacity":{"cpu":9223372036854775807}`),
		"port":        entry("nowhere:70000", ""),
		"nothing":     entry("nowhere:1", `,"capacity":{"cpu":4000,"requested_memory_mb":4000}`),
		"bytes":       {0xff, 0xfe, 0},
		"null":        []byte("null"),
		"value_bytes": entry("nowhere:1", `,"capacity":{"cpu":4000},"labels":["`+strings.Repeat("x", 1_048_000)+`"]`),
	}
}

// Guards against odd entries of another writer that end the scheduler, keep it from following the
// runners, make its roster unwritable, or delay the work of the next scheduler.
func TestOddRunnerEntriesAreContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1)
		defer s.close()
		for id, value := range oddEntries() {
			s.store.Put(platform.RunnerPrefix+id, value)
		}
		for range simVMs {
			s.startVM()
		}
		time.Sleep(2 * time.Second)
		s.submit(1)
		time.Sleep(100 * time.Millisecond)
		// Begun work is lost with the runners just when another scheduler takes over.
		s.kill(s.leader())
		for i := range simRunners {
			s.crashRunner(i)
		}
		time.Sleep(8 * time.Second)
		s.mustComplete(1)
		// They appear again while a scheduler follows the runners, more than fit into an answer.
		for range 12 {
			for id, value := range oddEntries() {
				s.store.Put(platform.RunnerPrefix+id, value)
			}
		}
		s.removeRunner(0)
		time.Sleep(3 * time.Second)
		views := s.leader().local.Current().RunnerViews()
		for _, v := range views {
			must.True(t, v.ID != s.removedRunner.ID || v.State == cell.RunnerLeaving, must.Sprint("the removal of a runner was not seen"))
		}
		s.submit(2)
		time.Sleep(5 * time.Second)
		s.mustComplete(2)
		must.Eq(t, 0, s.panics.Load())
	})
}

// mustComplete fails the test unless all accepted jobs, of which there must be n, have completed.
func (s *sim) mustComplete(n int) {
	must.MapLen(s.t, n, s.accepted)
	for id := range s.accepted {
		state, err := cell.ParseSavedJob(s.store.Value(StateKey(id)))
		must.NoError(s.t, err)
		must.Eq(s.t, cell.Completed, state.State)
	}
}
