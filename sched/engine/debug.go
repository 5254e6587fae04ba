package engine

import (
	"fmt"

	"rhubarbstall.example/sched/cache"
)

var Dbg [8]int64

func (e *Engine) Debug() {
	for _, n := range e.cache.Nodes() {
		f := n.Free().MilliCPU
		switch {
		case !n.Known:
		case n.Quarantined:
			Dbg[0] += f
		case n.Hold != nil && n.Hold.Job == e.reserved:
			Dbg[1] += f
		case n.Hold != nil && n.Hold.Expires.IsZero():
			Dbg[2] += f
		case n.Hold != nil:
			Dbg[3] += f
		case !n.Kept.IsZero():
			Dbg[4] += f
		default:
			Dbg[5] += f
		}
	}
	Dbg[6]++
	if e.reserved != nil {
		Dbg[7]++
	}
	_ = cache.Node{}
}

func (e *Engine) Dump() string {
	s := ""
	for _, n := range e.cache.Nodes() {
		s += fmt.Sprint(n.ID, " free ", n.Free(), " kept ", n.Kept.MilliCPU, " hold ", n.Hold != nil, " runs ", len(n.Runs), "\n")
	}
	for _, l := range e.lanes {
		c := map[int64]int{}
		for _, en := range l.Entries() {
			c[en.Job.Size.MilliCPU] += en.Job.Waiting
		}
		s += fmt.Sprint(l.Department, " ", l.Kind, " ", c, "\n")
	}
	return s
}
