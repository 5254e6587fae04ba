package dispatch

import (
	"slices"
	"strings"
	"time"

	"rhubarbstall.example/sched/model"
)

// Workers returns the workers of the roster, ordered by ID.
func (d *Dispatcher) Workers() []model.WorkerView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.views()
}

func (d *Dispatcher) views() []model.WorkerView {
	views := d.engine.Workers()
	known := make(map[string]bool, len(views))
	now := time.Now()
	for i := range views {
		known[views[i].ID] = true
		// During the backoff after a refusal the engine treats the worker as silent, but
		// operators see its real state.
		if l, ok := d.links[views[i].ID]; ok && views[i].State == model.WorkerSilent && !l.silent {
			views[i].State = l.state(l.backoffUntil)
		}
	}
	for id, l := range d.links {
		if !known[id] {
			views = append(views, model.WorkerView{Worker: model.Worker{
				ID: id, Zone: d.cfg.Zone, Rack: l.info.Rack, State: l.state(now),
			}})
		}
	}
	slices.SortFunc(views, func(a, b model.WorkerView) int { return strings.Compare(a.ID, b.ID) })
	return views
}

// Drain stops new starts on a worker, or allows them again. It returns false if the
// worker is not on the roster.
func (d *Dispatcher) Drain(id string, enabled bool) (model.WorkerView, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[id]
	if !ok {
		return model.WorkerView{}, false
	}
	l.draining = enabled
	d.drained[id] = enabled
	d.updateEngineWorker(time.Now(), l)
	for _, v := range d.views() {
		if v.ID == id {
			return v, true
		}
	}
	return model.WorkerView{}, false
}

// SetDrained marks workers as draining, including those that have no link yet.
func (d *Dispatcher) SetDrained(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.drained[id] = true
		if l, ok := d.links[id]; ok {
			l.draining = true
			d.updateEngineWorker(time.Now(), l)
		}
	}
}
