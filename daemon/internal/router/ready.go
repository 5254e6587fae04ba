package router

import "time"

// readyTimeout bounds how long a new entry VM stays not ready while other owners
// have not confirmed its join. Without it, a frozen entry VM of the zone would
// keep every new one out of the load balancer, although a new one can already
// forward requests.
const readyTimeout = 10 * time.Second

// Ready reports whether the load balancer may send requests here: the entry VM
// uses its runner slots, or has waited readyTimeout for the owners to confirm.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.join.joined || r.now().Sub(r.join.startedAt) > readyTimeout
}
