package baseline

import (
	"slices"
	"strings"

	"rhubarbstall.example/sched/model"
)

// workers holds the workers sorted by ID, which is the order in which first fit tries
// them.
type workers struct {
	list []*worker
	byID map[string]*worker
}

// get returns a worker. An unknown worker is added without being registered, so that
// attempts on a worker that is registered later are accounted for.
func (ws *workers) get(id string) *worker {
	if w := ws.byID[id]; w != nil {
		return w
	}
	w := &worker{Worker: model.Worker{ID: id}}
	ws.byID[id] = w
	at, _ := slices.BinarySearchFunc(ws.list, id, func(w *worker, id string) int { return strings.Compare(w.ID, id) })
	ws.list = slices.Insert(ws.list, at, w)
	return w
}

// deleteIfUnused deletes a worker that is not registered and has no attempts.
func (ws *workers) deleteIfUnused(w *worker) {
	if w.registered || w.running > 0 {
		return
	}
	delete(ws.byID, w.ID)
	ws.list = slices.DeleteFunc(ws.list, func(o *worker) bool { return o == w })
}

func (ws *workers) registered() []model.Worker {
	var out []model.Worker
	for _, w := range ws.list {
		if w.registered {
			out = append(out, w.Worker)
		}
	}
	return out
}
