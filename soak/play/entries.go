package play

import (
	"encoding/json"
	"time"

	"rhubarbstall.example/platform"
)

// register writes the entry of a runner.
func (w *world) register(r *runner) {
	w.store.Put(platform.RunnerPrefix+r.ID, w.fleet.RunnerRecord(r.Runner, pool, r.link.Addr(), "ready"))
	w.checker.setDraining(r.ID, time.Time{})
}

// drain writes an entry of a runner that says that it drains.
func (w *world) drain(r *runner) {
	w.store.Put(platform.RunnerPrefix+r.ID, w.fleet.RunnerRecord(r.Runner, pool, r.link.Addr(), "draining"))
	w.checker.setDraining(r.ID, time.Now())
}

// configure writes a version of the operator's configuration, with or without the route of advisedQueue, and
// with or without its recommendation. Jobs of a queue whose route is gone need what they needed before.
func (w *world) configure(route, advised bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routed, w.withAdvice = route, advised
	w.writeConfig()
}

// changeKeys writes a version of the configuration with other API keys.
func (w *world) changeKeys(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.writeConfig()
}

// writeConfig writes a version of the operator's configuration. The caller holds w.mu.
func (w *world) writeConfig() {
	route, advised := w.routed, w.withAdvice
	w.version += 3
	var routes []map[string]any
	for _, name := range []string{plainQueue, advisedQueue} {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": 1, "service": pool, "max_attempts": maxAttempts, "slack_factor": 2,
		}
		if name == advisedQueue && !route {
			continue
		}
		if name == advisedQueue {
			w.advised = advised
		}
		if name == advisedQueue && advised {
			r["recommendation"] = map[string]any{
				"decision_ms": adviceBase.Milliseconds(), "per_worker_ms": advicePerRunner.Milliseconds(), "validity_ms": adviceValidity.Milliseconds(),
			}
		}
		routes = append(routes, r)
	}
	config := map[string]any{
		"version": w.version, "routes": routes, "services": []map[string]any{{"name": pool}}, "limits": map[string]any{"body_bytes": 262144},
	}
	if w.options.Accounts {
		config["tenants"] = w.keys.tenants()
	}
	value, err := json.Marshal(config)
	if err != nil {
		panic(err) // The fields are plain.
	}
	w.store.Put(platform.ConfigKey, value)
	w.keys.acknowledge(time.Now())
}
