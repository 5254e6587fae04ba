package baseline

import (
	"slices"
	"strings"

	"rhubarbstall.example/sched/model"
)

// workers holds the VMs in order of identity, which is the order of first fit.
type workers struct {
	list []*worker
	byID map[string]*worker
}

// get returns a worker and adds an unknown one, so that attempts on a worker
// that is reported later are accounted for.
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

func (ws *workers) dropIdle(w *worker) {
	if w.known || w.running > 0 {
		return
	}
	delete(ws.byID, w.ID)
	ws.list = slices.DeleteFunc(ws.list, func(o *worker) bool { return o == w })
}

func (ws *workers) known() []model.Worker {
	var out []model.Worker
	for _, w := range ws.list {
		if w.known {
			out = append(out, w.Worker)
		}
	}
	return out
}
